//! Contract of the operators' API: tokens and roles, versions over HTTP, dry runs, history,
//! concurrent changes, and retries.

mod common;

use common::{Api, change, subscribe, until};
use courseshunt_types::DeploymentDocument;
use hyper::Method;
use serde_json::json;

#[tokio::test]
async fn pages_require_a_token_with_the_right_role() {
    let api = Api::start().await;
    let cases = [
        ("GET", "/admin/v1/status", "", 401),
        ("GET", "/admin/v1/status", "other-token", 401),
        ("GET", "/admin/v1/status", "read-token", 200),
        ("GET", "/admin/v1/status", "operate-token", 200),
        ("POST", "/admin/v1/status", "read-token", 405),
        ("GET", "/admin/v1/changes", "operate-token", 405),
        ("GET", "/admin/v1/nothing", "operate-token", 404),
        ("POST", "/admin/v1/changes", "read-token", 403),
        ("POST", "/admin/v1/changes", "apply-token", 200),
        (
            "POST",
            "/admin/v1/changes?wait_seconds=0",
            "apply-token",
            400,
        ),
        ("POST", "/admin/v1/changes?wait=1", "apply-token", 400),
    ];
    for (method, path, token, expected) in cases {
        let method: Method = method.parse().unwrap();
        let (status, content) = api.call(method, path, token, &change("c", 1, 10)).await;
        assert_eq!(status, expected, "{path} with {token}: {content}");
        let has_code = content.pointer("/error/code").is_some();
        assert_eq!(has_code, expected >= 400, "{path} with {token}: {content}");
    }
    api.controller.stop().await;
}

#[tokio::test]
async fn responses_to_changes_and_dry_runs() {
    let api = Api::start().await;
    let winner = {
        let document = serde_json::from_value(change("", 1, 10)["deployments"][0].clone());
        let document: DeploymentDocument = document.unwrap();
        document.digest().to_string()
    };
    let (status, content) = api.apply("?dry_run", "c1", 1, 10).await;
    assert_eq!((status, &content["revision"]), (200, &json!(1)));
    assert_eq!(content["changes"][0]["name"], "agro-llm");
    assert_eq!(api.get("/admin/v1/deployments").await, json!([]));

    let (status, content) = api.apply("?wait_seconds=5", "c1", 1, 10).await;
    let expected = json!({"revision": 1, "current_revision": 1, "in_force": true, "lagging": [],
        "unheard": []});
    assert_eq!((status, content), (200, expected));

    let cases = [
        ("c2", 1, 11, 409, "same_version", "winner", json!(winner)),
        (
            "c3",
            5,
            0,
            422,
            "invalid_document",
            "field",
            json!("memory_mib"),
        ),
        ("c1", 2, 10, 409, "change_reused", "revision", json!(1)),
    ];
    for (change_id, version, memory, expected, code, field, value) in cases {
        for query in ["", "?dry_run"] {
            let (status, content) = api.apply(query, change_id, version, memory).await;
            assert_eq!(status, expected, "{content}");
            assert_eq!(content["error"]["code"], code, "{content}");
            assert_eq!(content["error"][field], value, "{content}");
        }
    }
    assert_eq!(api.apply("", "c4", 3, 12).await.0, 200);
    let (status, content) = api.apply("", "c5", 2, 13).await;
    assert_eq!((status, &content["error"]["current"]), (409, &json!(3)));
    // The first change is retried, as after a lost response, when a newer version is in force.
    let (status, content) = api.apply("", "c1", 1, 10).await;
    let expected = json!({"revision": 1, "current_revision": 2});
    assert_eq!((status, content), (200, expected));
    let stored = api.get("/admin/v1/configuration").await;
    assert_eq!(stored["deployments"][0]["version"], 3);

    let history = api.get("/admin/v1/history?limit=1").await;
    assert_eq!(history.as_array().unwrap().len(), 1);
    assert_eq!(history[0]["operator"], "ana");
    assert_eq!(history[0]["change_id"], "c4");
    api.controller.stop().await;
}

#[tokio::test]
async fn concurrent_changes_to_one_version_have_one_winner() {
    let api = Api::start().await;
    let api = std::sync::Arc::new(api);
    let mut changes = tokio::task::JoinSet::new();
    for memory in 1..=16_u64 {
        let api = api.clone();
        changes.spawn(async move {
            (
                memory,
                api.apply("", &format!("race-{memory}"), 1, memory).await,
            )
        });
    }
    let results = changes.join_all().await;
    let accepted: Vec<u64> = results
        .iter()
        .filter(|(_, (status, _))| *status == 200)
        .map(|(memory, _)| *memory)
        .collect();
    assert_eq!(accepted.len(), 1, "{results:?}");
    let stored = api.get("/admin/v1/deployments").await;
    assert_eq!(stored[0]["memory_mib"], accepted[0]);
    let winner: DeploymentDocument = serde_json::from_value(stored[0].clone()).unwrap();
    let refused = results.iter().filter(|(_, (status, _))| *status != 200);
    for (_, (status, content)) in refused {
        assert_eq!(*status, 409);
        assert_eq!(content["error"]["winner"], winner.digest().to_string());
    }
}

#[tokio::test]
async fn the_metrics_page_contains_log_feed_and_session_metrics() {
    let api = Api::start().await;
    assert_eq!(api.apply("", "c1", 1, 10).await.0, 200);
    let _router = subscribe(&api, "router-1", 0).await;
    let context = api.controller.context();
    until("the router and a confirmation", || {
        let confirmation = context.feed.confirmation(context.clock.now());
        context.routers.all().len() == 1 && confirmation.is_some()
    })
    .await;
    let page = api.text("/metrics").await;
    let names = [
        "courseshunt_term ",
        "courseshunt_leader 1.0",
        "courseshunt_leads 1.0",
        "courseshunt_applied_index ",
        "courseshunt_commit_index ",
        "courseshunt_revision 1.0",
        "courseshunt_log_sync_seconds_bucket{",
        "courseshunt_feed_age_seconds ",
        "courseshunt_feed_syncs_total ",
        "courseshunt_feed_updates_total ",
        "courseshunt_feed_syncs_waiting ",
        "courseshunt_sessions ",
        "courseshunt_router_revision{router=\"router-1\"} ",
        "courseshunt_wire_bytes_total{kind=\"configuration\",way=\"sent\"} ",
    ];
    for name in names {
        assert!(page.contains(name), "metric `{name}` is missing in\n{page}");
    }
    api.controller.stop().await;
}
