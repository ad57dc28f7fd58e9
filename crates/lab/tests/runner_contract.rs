//! Contract of the runners' interface, as the stand-in serves it: fenced
//! orders, refusals that prove "not started", and bad input.

mod support;

use courseshunt_standin::model::{RunnerModelSettings, StoreModelSettings};
use courseshunt_standin::server::{RunnerServer, StoreServer};
use serde_json::json;
use std::net::SocketAddr;
use support::{PATIENCE, RawAnswer, exchange, request};

const TOKEN: &str = "runner-token";
const ORDERS: &str = "/control/orders";
const CHAT: &str = "/v1/chat/completions";
/// Memory of the runner in the tests, in MiB.
const MEMORY_MIB: u64 = 4000;

struct Runner {
    store: StoreServer,
    server: RunnerServer,
}

impl Runner {
    async fn start() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = StoreServer::start(any, StoreModelSettings::default()).await;
        let store = store.unwrap();
        let settings = RunnerModelSettings::named("runner-1", "a", MEMORY_MIB);
        let server = RunnerServer::start(any, store.address, TOKEN, settings).await;
        let server = server.unwrap();
        Self { store, server }
    }

    async fn send(&self, method: &str, path: &str, body: &str) -> RawAnswer {
        let headers = [format!("authorization: Bearer {TOKEN}")];
        let bytes = request(method, path, &headers, body.as_bytes());
        exchange(self.server.address, &bytes).await
    }

    async fn complete(&self, body: &str, id: &str) -> RawAnswer {
        let headers = [format!("x-request-id: {id}"), "x-attempt: 1".to_owned()];
        let bytes = request("POST", CHAT, &headers, body.as_bytes());
        exchange(self.server.address, &bytes).await
    }

    async fn wait_until_ready(&self, deployment: &str) {
        let wanted = format!("\"deployment\":\"{deployment}\"");
        let wait = async {
            loop {
                let page = self.send("GET", "/control/inventory", "").await.body;
                if page.contains(&wanted) && page.contains("\"phase\":\"ready\"") {
                    return;
                }
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(PATIENCE, wait).await.unwrap();
    }

    fn stop(&self) {
        self.server.stop();
        self.store.stop();
    }
}

fn load(deployment: &str, sequence: u64, memory_mib: u64) -> String {
    json!({
        "fence": {"term": 1, "sequence": sequence}, "deployment": deployment,
        "action": {"kind": "load", "model": deployment, "checkpoint_mib": 100,
                   "memory_mib": memory_mib, "slots": 2, "adapters": []},
    })
    .to_string()
}

fn unload(deployment: &str, sequence: u64) -> String {
    json!({
        "fence": {"term": 1, "sequence": sequence}, "deployment": deployment,
        "action": {"kind": "unload"},
    })
    .to_string()
}

const GOOD: &str = r#"{"model":"agro","max_tokens":3,"prompt":"x"}"#;

#[tokio::test(flavor = "multi_thread")]
async fn orders_are_fenced_and_faults_are_named() {
    let runner = Runner::start().await;
    assert_eq!(
        runner
            .send("POST", ORDERS, &load("agro", 5, 1000))
            .await
            .status,
        200
    );
    runner.wait_until_ready("agro").await;
    let cases = [
        ("lower fence", load("agro", 4, 1000), 409, "stale_fence"),
        (
            "lower fence of an unload",
            unload("agro", 4),
            409,
            "stale_fence",
        ),
        (
            "memory does not suffice",
            load("large", 6, 3001),
            409,
            "out_of_memory",
        ),
        ("no JSON", "{\"fence\"".to_owned(), 400, "invalid"),
        (
            "unknown action",
            unload("agro", 9).replace("unload", "explode"),
            400,
            "invalid",
        ),
        (
            "no fence",
            "{\"deployment\":\"agro\"}".to_owned(),
            400,
            "invalid",
        ),
        ("empty", String::new(), 400, "invalid"),
    ];
    for (name, order, status, kind) in cases {
        let answer = runner.send("POST", ORDERS, &order).await;
        assert_eq!(answer.status, status, "{name}: {answer:?}");
        assert_eq!(answer.field("/kind"), kind, "{name}: {answer:?}");
        let good = runner.complete(GOOD, name).await;
        assert_eq!(good.status, 200, "after {name}: {good:?}");
    }
    let same = runner.send("POST", ORDERS, &load("agro", 5, 1000)).await;
    assert_eq!(same.status, 200, "the same order again changes nothing");
    runner.server.start_draining();
    let draining = runner.send("POST", ORDERS, &load("new", 7, 10)).await;
    assert_eq!(draining.field("/kind"), "draining");
    assert_eq!(runner.server.overcommit_attempts(), 1);
    runner.stop();
}

#[tokio::test(flavor = "multi_thread")]
async fn the_control_interface_needs_its_token() {
    let runner = Runner::start().await;
    let headers = [
        Vec::new(),
        vec!["authorization: Bearer wrong".to_owned()],
        vec![format!("authorization: Basic {TOKEN}")],
    ];
    let order = load("agro", 1, 100);
    for headers in headers {
        for (method, path) in [("GET", "/control/inventory"), ("POST", ORDERS)] {
            let bytes = request(method, path, &headers, order.as_bytes());
            let answer = exchange(runner.server.address, &bytes).await;
            assert_eq!(answer.status, 401, "{path} with {headers:?}");
            assert_eq!(answer.field("/error/code"), "unauthorized", "{answer:?}");
        }
    }
    let inventory = runner.send("GET", "/control/inventory", "").await;
    assert_eq!(inventory.status, 200);
    assert!(
        inventory.body.contains("\"deployments\":[]"),
        "nothing was ordered"
    );
    let unknown = runner.send("GET", "/control/none", "").await;
    assert_eq!(unknown.status, 404);
    runner.stop();
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_requests_prove_that_they_did_not_start() {
    let runner = Runner::start().await;
    runner.send("POST", ORDERS, &load("agro", 1, 1000)).await;
    runner.wait_until_ready("agro").await;
    let cases = [
        ("no JSON", "{\"model\"", 400),
        ("no model", "{\"prompt\":\"x\"}", 400),
        ("no prompt", "{\"model\":\"agro\"}", 400),
        ("not loaded", "{\"model\":\"none\",\"prompt\":\"x\"}", 503),
    ];
    for (name, body, status) in cases {
        let answer = runner.complete(body, name).await;
        assert_eq!(answer.status, status, "{name}: {answer:?}");
        assert_eq!(answer.header("x-not-started"), "true", "{name}");
    }
    assert!(runner.server.executions().is_empty(), "nothing ran");
    let good = runner.complete(GOOD, "one").await;
    assert_eq!(good.status, 200, "{good:?}");
    assert_eq!(good.header("x-request-id"), "one");
    runner.server.start_draining();
    let draining = runner.complete(GOOD, "two").await;
    assert_eq!(draining.status, 503);
    assert_eq!(draining.header("x-not-started"), "true");
    assert_eq!(draining.field("/error/code"), "draining");
    assert_eq!(runner.server.executions().len(), 1);
    runner.stop();
}
