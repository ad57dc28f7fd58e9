//! What the contract tests share: a small site and raw HTTP exchanges.

#![allow(dead_code, reason = "each test file uses its own part")]

use courseshunt_lab::site::{Site, SiteSettings};
use courseshunt_operator::read_documents;
use courseshunt_standin::model::StoreModelSettings;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Token of the tenant in [`DOCUMENTS`].
pub const TENANT_TOKEN: &str = "souss-demo-token";
/// Longest wait for anything.
pub const PATIENCE: Duration = Duration::from_secs(30);

const DOCUMENTS: &str = r#"
[[tenant]]
name = "souss"
version = 1
token_digests = ["1745e2279a1ee0852bb9a102ababd08101bd2d5a7627241a4fdaf5f5db7502dd"]

[[deployment]]
name = "agro"
version = 1
model = "agro"
tenant = "souss"
memory_mib = 1000
slots_per_replica = 8
adapters = [{ name = "soil", memory_mib = 10 }]

[[deployment]]
name = "foreign"
version = 1
model = "foreign"
tenant = "andrade"
memory_mib = 1000
"#;

/// One router, one controller, two runners, with [`DOCUMENTS`] in force.
pub async fn small_site() -> Site {
    let settings = SiteSettings {
        routers: 1,
        runners: 2,
        runner_memory_mib: 4000,
        store: StoreModelSettings::default(),
        zones: vec!["a".to_owned()],
    };
    let site = Site::start(&settings).await.unwrap();
    let batch = read_documents(Path::new("documents.toml"), DOCUMENTS).unwrap();
    let change = batch.into_change("contract".into());
    let revision = site.admin().apply(&change).await.unwrap();
    let in_force = async {
        while site.routers[0].context().view.revision() < revision {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(PATIENCE, in_force).await.unwrap();
    site
}

/// A raw answer.
#[derive(Debug)]
pub struct RawAnswer {
    /// Status, 0 when the connection closed without an answer.
    pub status: u16,
    /// Head, in lower case.
    pub head: String,
    /// Body as text.
    pub body: String,
}

impl RawAnswer {
    /// A field of the body's JSON.
    pub fn field(&self, pointer: &str) -> String {
        let content: Value = serde_json::from_str(&self.body).unwrap_or(Value::Null);
        let field = content.pointer(pointer).and_then(Value::as_str);
        field.unwrap_or_default().to_owned()
    }

    /// A header of the head.
    pub fn header(&self, name: &str) -> String {
        let prefix = format!("{name}: ");
        let line = self.head.lines().find_map(|one| one.strip_prefix(&prefix));
        line.unwrap_or_default().to_owned()
    }

    fn read(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
        Self {
            status: status.unwrap_or(0),
            head: head.to_ascii_lowercase().replace("\r\n", "\n"),
            body: body.to_owned(),
        }
    }
}

/// A whole request as bytes; `headers` are lines without their ends.
pub fn request(method: &str, path: &str, headers: &[String], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n");
    text.push_str(&format!("content-length: {}\r\n", body.len()));
    for header in headers {
        text.push_str(header);
        text.push_str("\r\n");
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends bytes and reads until the other side closes.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> RawAnswer {
    let work = async {
        let mut stream = TcpStream::connect(address).await.unwrap();
        // The other side may refuse before it has read everything.
        let _ = stream.write_all(bytes).await;
        let mut answer = Vec::new();
        let mut piece = [0_u8; 4096];
        while let Ok(length) = stream.read(&mut piece).await {
            if length == 0 {
                break;
            }
            answer.extend_from_slice(&piece[..length]);
        }
        RawAnswer::read(&answer)
    };
    tokio::time::timeout(PATIENCE, work).await.unwrap()
}
