//! One controller on loopback sockets, with a client of its operators' API.
#![allow(dead_code, reason = "each test file uses a part")]

use courseshunt_controller::Controller;
use courseshunt_http::HttpClient;
use courseshunt_settings::ControllerSettings;
use courseshunt_types::Digest;
use hyper::Method;
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;

pub const KEY: &str = "a cluster key for tests";
/// Longest wait for a condition.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub struct Api {
    pub controller: Controller,
    client: HttpClient,
    _folder: tempfile::TempDir,
}

fn write(folder: &Path, name: &str, content: &str) -> String {
    let path = folder.join(name);
    std::fs::write(&path, content).unwrap();
    path.display().to_string()
}

fn settings(folder: &Path) -> ControllerSettings {
    let apply = Digest::of(b"apply-token");
    let operators =
        format!("read read-token ray\napply sha256:{apply} ana\noperate operate-token\n");
    let files = [
        (
            "operator-token-file",
            write(folder, "operators", &operators),
        ),
        ("runner-token-file", write(folder, "runner", "runner-token")),
        ("cluster-key-file", write(folder, "key", KEY)),
        ("data-folder", folder.join("data").display().to_string()),
        ("http-address", "127.0.0.1:0".to_owned()),
        ("wire-address", "127.0.0.1:0".to_owned()),
        ("platform-address", "127.0.0.1:9".to_owned()),
        ("id", "1".to_owned()),
    ];
    let arguments = files.map(|(flag, value)| format!("--{flag}={value}"));
    ControllerSettings::load(&arguments).unwrap()
}

impl Api {
    pub async fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let controller = Controller::start(settings(folder.path())).await.unwrap();
        let mut status = controller.context().replica.status();
        let leads = status.wait_for(|status| status.leads());
        tokio::time::timeout(PATIENCE, leads)
            .await
            .unwrap()
            .unwrap();
        Self {
            controller,
            client: HttpClient::default(),
            _folder: folder,
        }
    }

    pub async fn call(
        &self,
        method: Method,
        path: &str,
        token: &str,
        content: &Value,
    ) -> (u16, Value) {
        let address = self.controller.http_address.to_string();
        let content = (method == Method::POST).then_some(content);
        let token = Some(token);
        let call = self
            .client
            .call(method, &address, path, token, content, PATIENCE);
        let reply = call.await.unwrap();
        let body = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
        (reply.status.as_u16(), body)
    }

    pub async fn apply(
        &self,
        query: &str,
        change_id: &str,
        version: u64,
        memory: u64,
    ) -> (u16, Value) {
        let path = format!("/admin/v1/changes{query}");
        let change = change(change_id, version, memory);
        self.call(Method::POST, &path, "apply-token", &change).await
    }

    pub async fn get(&self, path: &str) -> Value {
        let (status, content) = self
            .call(Method::GET, path, "read-token", &Value::Null)
            .await;
        assert_eq!(status, 200, "{path}");
        content
    }
}

pub fn change(change_id: &str, version: u64, memory: u64) -> Value {
    json!({"change_id": change_id, "deployments": [{
        "name": "agro-llm", "version": version, "model": "agro", "tenant": "souss",
        "memory_mib": memory,
    }]})
}
