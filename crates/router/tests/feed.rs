//! The feed at a router: revisions never decrease, updates in parts are applied
//! atomically, the router is synced only after a fresh confirmation, and it
//! disconnects from a stale controller.

mod common;

use common::{FakeController, WAIT_TIMEOUT, start_router};
use courseshunt_router::configuration::ConfigurationView;
use courseshunt_router::control::{FeedFreshness, STALE_LIMIT};
use courseshunt_state::StoredDeployment;
use courseshunt_types::{DeploymentDocument, Digest, Millis, Revision, Timestamp};
use courseshunt_wire::message::ConfigurationUpdate;
use courseshunt_wire::{Connection, Message};
use std::time::Duration;

fn update(full: bool, revision: u64, more: bool, names: &[&str]) -> ConfigurationUpdate {
    let stored = names.iter().map(|name| {
        let content = serde_json::json!({
            "name": name, "version": revision, "model": "m", "tenant": "t", "memory_mib": 1,
        });
        let document: DeploymentDocument = serde_json::from_value(content).unwrap();
        StoredDeployment {
            digest: Digest::default(),
            revision: Revision(revision),
            document,
        }
    });
    ConfigurationUpdate {
        full,
        revision: Revision(revision),
        deployments: stored.collect(),
        removed: Vec::new(),
        tenants: None,
        more,
    }
}

fn names(view: &ConfigurationView) -> Vec<String> {
    let deployments = view.deployments();
    let names = deployments.iter().map(|document| document.name.0.clone());
    names.collect()
}

#[test]
fn updates_apply_atomically_and_never_revert() {
    let view = ConfigurationView::default();
    let steps: Vec<(&str, ConfigurationUpdate, Option<u64>, &[&str])> = vec![
        ("first part", update(true, 5, true, &["a"]), None, &[]),
        (
            "last part",
            update(false, 5, false, &["b"]),
            Some(5),
            &["a", "b"],
        ),
        (
            "change",
            update(false, 6, false, &["c"]),
            Some(6),
            &["a", "b", "c"],
        ),
        (
            "older revision is ignored",
            update(true, 5, false, &["x"]),
            None,
            &["a", "b", "c"],
        ),
        (
            "first part of a sync: the previous revision stays in force",
            update(true, 9, true, &["d"]),
            None,
            &["a", "b", "c"],
        ),
    ];
    for (name, update, revision, expected) in steps {
        assert_eq!(
            view.apply_configuration(update),
            revision.map(Revision),
            "{name}"
        );
        assert_eq!(names(&view), expected, "{name}");
    }
    // The connection is lost; the parts of the incomplete sync are dropped.
    view.begin_feed();
    let change = update(false, 7, false, &["e"]);
    assert_eq!(view.apply_configuration(change), Some(Revision(7)));
    assert_eq!(names(&view), ["a", "b", "c", "e"]);
}

#[test]
fn feed_is_stale_when_its_confirmation_is_too_old() {
    let limit = STALE_LIMIT.0;
    // (age in the confirmation, received at, checked at, fresh, stale)
    let cases = [
        (None, 0, limit, true, false),
        (None, 0, limit + 1, true, true),
        (Some(0), 1_000, 1_000 + limit, true, false),
        (Some(0), 1_000, 1_001 + limit, true, true),
        (Some(limit), limit, limit, true, false),
        (Some(limit + 1), limit + 1, limit + 1, false, true),
        (Some(1_000), 5_000, 4_001 + limit, true, true),
    ];
    for (age, received_at, checked_at, fresh, stale) in cases {
        let mut freshness = FeedFreshness::connected(Timestamp(0));
        if let Some(age) = age {
            let result = freshness.confirmed(Millis(age), Timestamp::at(received_at));
            assert_eq!(result, fresh, "age {age} at {received_at}");
        }
        let result = freshness.is_stale(Timestamp::at(checked_at));
        assert_eq!(
            result, stale,
            "age {age:?} at {received_at}, checked at {checked_at}"
        );
    }
}

async fn confirm(connection: &mut Connection, age: Millis, revision: u64) {
    let revision = Revision(revision);
    let message = Message::FeedConfirmation { age, revision };
    // The router may have disconnected already.
    let _ = connection.sender.send(&message).await;
}

/// Sends confirmations of a revision until `condition` holds, so that the router
/// does not disconnect as from a stale feed when the machine is slow.
async fn confirm_until(
    connection: &mut Connection,
    revision: u64,
    what: &str,
    condition: impl Fn() -> bool,
) {
    let confirming = async {
        while !condition() {
            confirm(connection, Millis(0), revision).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_TIMEOUT, confirming).await;
    assert!(waited.is_ok(), "timed out waiting for: {what}");
}

async fn send(connection: &mut Connection, update: ConfigurationUpdate) {
    let message = Message::Configuration(update);
    connection.sender.send(&message).await.unwrap();
}

#[tokio::test]
async fn router_is_synced_only_after_a_fresh_confirmation() {
    let controller = FakeController::start().await;
    let router = start_router(&[controller.address]).await;
    let view = router.context().view.clone();
    let (mut feed, subscribe) = controller.router().await;
    assert_eq!(subscribe.revision, Revision(0));
    send(&mut feed, update(true, 1, false, &["a"])).await;
    // The confirmation of revision 1 is too old; the next one is fresh, but
    // confirms revision 2 as the newest.
    confirm(&mut feed, Millis(STALE_LIMIT.0 + 1), 1).await;
    let confirmed = || view.confirmation().is_some();
    confirm_until(&mut feed, 2, "a confirmation", confirmed).await;
    assert_eq!(view.revision(), Revision(1));
    assert!(!view.is_synced());
    send(&mut feed, update(false, 2, false, &["b"])).await;
    confirm_until(&mut feed, 2, "synced", || view.is_synced()).await;
    router.stop().await;
}

#[tokio::test]
async fn router_leaves_a_stale_controller_without_reverting() {
    let controllers = [FakeController::start().await, FakeController::start().await];
    let addresses = [controllers[0].address, controllers[1].address];
    let router = start_router(&addresses).await;
    let view = router.context().view.clone();
    // The router connects to either controller first.
    let ((mut feed, _), other) = tokio::select! {
        feed = controllers[0].router() => (feed, &controllers[1]),
        feed = controllers[1].router() => (feed, &controllers[0]),
    };
    send(&mut feed, update(true, 5, false, &["a"])).await;
    confirm_until(&mut feed, 5, "synced", || view.is_synced()).await;
    // The controller is partitioned from its quorum: it keeps answering, but its
    // confirmation is too old.
    confirm(&mut feed, Millis(STALE_LIMIT.0 + 1), 5).await;
    let (mut second, subscribe) = other.router().await;
    assert_eq!(subscribe.revision, Revision(5));
    // The second controller is stale at revision 3; the router ignores that update.
    send(&mut second, update(true, 3, false, &["old"])).await;
    send(&mut second, update(false, 6, false, &["b"])).await;
    let in_force = || view.revision() == Revision(6);
    confirm_until(&mut second, 6, "revision 6", in_force).await;
    assert_eq!(names(&view), ["a", "b"]);
    drop(feed);
    router.stop().await;
}
