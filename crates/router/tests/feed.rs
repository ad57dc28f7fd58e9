//! Contract of the feed at a router: nothing reverts, updates in parts come
//! into force whole, callers are taken only after a confirmed sync, a stale
//! controller is left.

mod common;

use common::{FakeController, PATIENCE, start_router};
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
    let names = deployments.iter().map(|one| one.name.0.clone());
    names.collect()
}

#[test]
fn updates_come_into_force_whole_and_never_revert() {
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
            "older",
            update(true, 5, false, &["x"]),
            None,
            &["a", "b", "c"],
        ),
        (
            "first part of a sync: the old stays in force",
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
    // The connection breaks; the unfinished sync leaves nothing.
    view.begin_feed();
    let change = update(false, 7, false, &["e"]);
    assert_eq!(view.apply_configuration(change), Some(Revision(7)));
    assert_eq!(names(&view), ["a", "b", "c", "e"]);
}

#[test]
fn the_age_of_confirmations_decides() {
    let limit = STALE_LIMIT.0;
    // (age in the confirmation, when it came, looked at, fresh, stale then)
    let cases = [
        (None, 0, limit, true, false),
        (None, 0, limit + 1, true, true),
        (Some(0), 1_000, 1_000 + limit, true, false),
        (Some(0), 1_000, 1_001 + limit, true, true),
        (Some(limit), limit, limit, true, false),
        (Some(limit + 1), limit + 1, limit + 1, false, true),
        (Some(1_000), 5_000, 4_001 + limit, true, true),
    ];
    for (age, came, looked, fresh, stale) in cases {
        let mut freshness = FeedFreshness::connected(Timestamp(0));
        if let Some(age) = age {
            let judged = freshness.confirmed(Millis(age), Timestamp::at(came));
            assert_eq!(judged, fresh, "age {age} at {came}");
        }
        let judged = freshness.is_stale(Timestamp::at(looked));
        assert_eq!(judged, stale, "age {age:?} at {came}, looked at {looked}");
    }
}

async fn confirm(connection: &mut Connection, age: Millis, revision: u64) {
    let revision = Revision(revision);
    let message = Message::FeedConfirmation { age, revision };
    // The router may have left already.
    let _ = connection.sender.send(&message).await;
}

/// Confirms a revision again and again until `condition` holds, so that the
/// router stays, however slow the machine is.
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
    let waited = tokio::time::timeout(PATIENCE, confirming).await;
    assert!(waited.is_ok(), "not in time: {what}");
}

async fn send(connection: &mut Connection, update: ConfigurationUpdate) {
    let message = Message::Configuration(update);
    connection.sender.send(&message).await.unwrap();
}

#[tokio::test]
async fn callers_are_taken_after_a_confirmed_sync() {
    let controller = FakeController::start().await;
    let router = start_router(&[controller.address]).await;
    let view = router.context().view.clone();
    let (mut feed, subscribe) = controller.router().await;
    assert_eq!(subscribe.revision, Revision(0));
    send(&mut feed, update(true, 1, false, &["a"])).await;
    // Too old to tell that 1 is the newest; then fresh, but 2 is the newest.
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
async fn a_stale_controller_is_left_and_nothing_reverts() {
    let controllers = [FakeController::start().await, FakeController::start().await];
    let addresses = [controllers[0].address, controllers[1].address];
    let router = start_router(&addresses).await;
    let view = router.context().view.clone();
    // The first controller is one of the two.
    let ((mut feed, _), other) = tokio::select! {
        feed = controllers[0].router() => (feed, &controllers[1]),
        feed = controllers[1].router() => (feed, &controllers[0]),
    };
    send(&mut feed, update(true, 5, false, &["a"])).await;
    confirm_until(&mut feed, 5, "synced", || view.is_synced()).await;
    // The controller is cut off: it goes on answering, but its confirmation
    // grows old.
    confirm(&mut feed, Millis(STALE_LIMIT.0 + 1), 5).await;
    let (mut second, subscribe) = other.router().await;
    assert_eq!(subscribe.revision, Revision(5));
    // The other one lags behind; the router keeps what it has.
    send(&mut second, update(true, 3, false, &["old"])).await;
    send(&mut second, update(false, 6, false, &["b"])).await;
    let in_force = || view.revision() == Revision(6);
    confirm_until(&mut second, 6, "revision 6", in_force).await;
    assert_eq!(names(&view), ["a", "b"]);
    drop(feed);
    router.stop().await;
}
