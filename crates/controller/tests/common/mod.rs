//! One controller on loopback sockets, with a client of its operators' API.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use courseshunt_controller::Controller;
use courseshunt_http::HttpClient;
use courseshunt_settings::ControllerSettings;
use courseshunt_types::{Digest, Incarnation, LogIndex, Revision};
use courseshunt_wire::message::Subscribe;
use courseshunt_wire::{ClusterKey, Connection, Message, PeerIdentity, connect};
use hyper::Method;
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpListener;

pub const KEY: &str = "a cluster key for tests";
/// Longest wait for a condition.
pub const TIMEOUT: Duration = Duration::from_secs(20);

pub struct Api {
    pub controller: Controller,
    client: HttpClient,
    folder: tempfile::TempDir,
}

fn write(folder: &Path, name: &str, content: &str) -> String {
    let path = folder.join(name);
    std::fs::write(&path, content).unwrap();
    path.display().to_string()
}

fn settings(folder: &Path, id: usize, voters: &str) -> ControllerSettings {
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
        ("id", id.to_string()),
        ("voters", voters.to_owned()),
    ];
    let arguments = files.map(|(flag, value)| format!("--{flag}={value}"));
    ControllerSettings::load(&arguments).unwrap()
}

impl Api {
    /// Starts a single controller and waits until it leads.
    pub async fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let settings = settings(folder.path(), 1, "");
        let controller = Controller::start(settings).await.unwrap();
        let api = Self::of(controller, folder);
        until("a leader", || api.leads()).await;
        api
    }

    fn of(controller: Controller, folder: tempfile::TempDir) -> Self {
        Self {
            controller,
            client: HttpClient::default(),
            folder,
        }
    }

    /// The folder with the controller's log.
    pub fn data_folder(&self) -> std::path::PathBuf {
        self.folder.path().join("data")
    }

    pub fn leads(&self) -> bool {
        self.controller.context().replica.leads()
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
            .call(method, &address, path, token, content, TIMEOUT);
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

    /// Reads a page as text, without a token.
    pub async fn text(&self, path: &str) -> String {
        let address = self.controller.http_address.to_string();
        let call = self
            .client
            .call::<()>(Method::GET, &address, path, None, None, TIMEOUT);
        String::from_utf8(call.await.unwrap().body.to_vec()).unwrap()
    }

    pub async fn get(&self, path: &str) -> Value {
        let (status, content) = self
            .call(Method::GET, path, "read-token", &Value::Null)
            .await;
        assert_eq!(status, 200, "{path}");
        content
    }
}

/// Starts a group of voting controllers and waits until one leads.
pub async fn start_group(size: usize) -> Vec<Api> {
    let any = "127.0.0.1:0".parse().unwrap();
    let listeners = (0..size).map(|_| courseshunt_wire::listen(any).unwrap());
    let listeners: Vec<TcpListener> = listeners.collect();
    let voters = listeners.iter().enumerate().map(|(position, listener)| {
        let address = listener.local_addr().unwrap();
        format!("{}={address}", position + 1)
    });
    let voters = voters.collect::<Vec<_>>().join(",");
    let mut group = Vec::new();
    for (position, wire) in listeners.into_iter().enumerate() {
        let folder = tempfile::tempdir().unwrap();
        let settings = settings(folder.path(), position + 1, &voters);
        let http = courseshunt_wire::listen(any).unwrap();
        let controller = Controller::start_on(settings, http, wire).await.unwrap();
        group.push(Api::of(controller, folder));
    }
    until("a leader", || group.iter().any(Api::leads)).await;
    group
}

/// Waits until `condition` holds.
pub async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, wait).await;
    assert!(waited.is_ok(), "timed out waiting for: {what}");
}

/// Connects as a router and subscribes to the feed of `api` from a revision on.
pub async fn subscribe(api: &Api, router: &str, revision: u64) -> Connection {
    let key = ClusterKey::new(KEY.as_bytes()).unwrap();
    let identity = PeerIdentity::Router(router.into(), Incarnation(1));
    let address = api.controller.wire_address;
    let mut connection = connect(address, &key, &identity).await.unwrap();
    let subscribe = Message::Subscribe(Subscribe {
        router: router.into(),
        incarnation: Incarnation(1),
        wire_address: "127.0.0.1:1".to_owned(),
        http_address: "127.0.0.1:2".to_owned(),
        zone: "a".into(),
        revision: Revision(revision),
        placement: LogIndex(0),
    });
    connection.sender.send(&subscribe).await.unwrap();
    connection
}

pub fn change(change_id: &str, version: u64, memory: u64) -> Value {
    json!({"change_id": change_id, "deployments": [{
        "name": "agro-llm", "version": version, "model": "agro", "tenant": "souss",
        "memory_mib": memory,
    }]})
}
