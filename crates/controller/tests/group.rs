//! Contract of the operators' API and the feed in a group of controllers: every member accepts
//! changes and has the routers of all members.

mod common;

use common::{Api, TIMEOUT, start_group, subscribe, until};
use courseshunt_types::{Millis, Revision};
use courseshunt_wire::Message;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Age of a confirmation at which routers leave a feed.
const STALE_LIMIT: Millis = Millis(3_000);
/// Interval between a router's heartbeats.
const ALIVE_INTERVAL: Duration = Duration::from_millis(200);

/// Follows a feed and confirms each revision up to the limit in `allowed`.
async fn follow(api: &Api, router: &str, allowed: watch::Receiver<u64>) -> JoinHandle<()> {
    let mut connection = subscribe(api, router, 0).await;
    tokio::spawn(async move {
        let mut alive = tokio::time::interval(ALIVE_INTERVAL);
        let mut revision = 0;
        loop {
            tokio::select! {
                received = connection.receiver.receive() => match received {
                    Ok(Some(Message::Configuration(update))) => revision = update.revision.0,
                    Ok(Some(_)) => {}
                    _ => return,
                },
                _ = alive.tick() => {
                    let revision = Revision(revision.min(*allowed.borrow()));
                    let confirmed = Message::Confirmed { revision };
                    if connection.sender.send(&confirmed).await.is_err() {
                        return;
                    }
                }
            }
        }
    })
}

fn routers_at(api: &Api) -> usize {
    api.controller.context().routers.all().len()
}

fn lagging(content: &Value) -> Vec<&str> {
    let lagging = content["lagging"].as_array().unwrap().iter();
    lagging.filter_map(|one| one["router"].as_str()).collect()
}

#[tokio::test]
async fn every_member_accepts_changes_and_waits_for_the_routers_of_all() {
    let group = start_group(3).await;
    let (allow, allowed) = watch::channel(u64::MAX);
    let (slow_allow, slow_allowed) = watch::channel(u64::MAX);
    let mut routers = Vec::new();
    for (position, api) in group.iter().enumerate() {
        let allowed = if position == 1 {
            &slow_allowed
        } else {
            &allowed
        };
        let name = format!("router-{}", position + 1);
        routers.push(follow(api, &name, allowed.clone()).await);
    }
    until("every member has all routers", || {
        group.iter().all(|api| routers_at(api) == 3)
    })
    .await;
    // One change through each member, followers included.
    for (position, api) in group.iter().enumerate() {
        let version = position as u64 + 1;
        let change_id = format!("c{version}");
        let (status, content) = api.apply("?wait_seconds=20", &change_id, version, 10).await;
        let expected = json!({
            "revision": version, "current_revision": version, "in_force": true,
            "lagging": [], "unheard": [],
        });
        assert_eq!((status, content), (200, expected));
    }
    // One router confirms no newer revision: every member reports it as lagging.
    slow_allow.send_replace(3);
    for (position, api) in group.iter().enumerate() {
        let version = position as u64 + 4;
        let change_id = format!("c{version}");
        let (status, content) = api.apply("?wait_seconds=1", &change_id, version, 10).await;
        assert_eq!(status, 200, "{content}");
        assert!(lagging(&content).contains(&"router-2"), "{content}");
    }
    slow_allow.send_replace(u64::MAX);
    let (_, content) = group[0].apply("?wait_seconds=20", "c6", 6, 10).await;
    assert_eq!(content["in_force"], true, "a retry also waits: {content}");
    // A change does not wait for a router that has disconnected.
    routers.remove(1).abort();
    until("every member has removed the router", || {
        group.iter().all(|api| routers_at(api) == 2)
    })
    .await;
    drop(allow);
    for api in group {
        api.controller.stop().await;
    }
}

#[tokio::test]
async fn changes_are_accepted_after_the_leader_has_stopped() {
    let mut group = start_group(3).await;
    let (status, content) = group[0].apply("", "c1", 1, 10).await;
    assert_eq!(status, 200, "{content}");
    let leader = group.iter().position(Api::leads).unwrap();
    group.remove(leader).controller.stop().await;
    // A retry of the first change through both remaining members, then a new change.
    for api in &group {
        let (status, content) = api.apply("", "c1", 1, 10).await;
        assert_eq!(
            (status, &content["revision"]),
            (200, &json!(1)),
            "{content}"
        );
    }
    let (status, content) = group[1].apply("", "c2", 2, 20).await;
    assert_eq!(
        (status, &content["revision"]),
        (200, &json!(2)),
        "{content}"
    );
    // A router that received both from the stopped member gets no older or equal revision.
    for api in &group {
        let mut feed = subscribe(api, "moved", 2).await;
        let confirmed = async {
            loop {
                match feed.receiver.receive().await.unwrap().unwrap() {
                    Message::Configuration(update) => panic!("older or equal revision: {update:?}"),
                    Message::FeedConfirmation { revision, .. } if revision >= Revision(2) => return,
                    _ => {}
                }
            }
        };
        let confirmed = tokio::time::timeout(TIMEOUT, confirmed).await;
        assert!(confirmed.is_ok(), "revision 2 was not confirmed in time");
    }
    for api in group {
        api.controller.stop().await;
    }
}

#[tokio::test]
async fn concurrent_changes_through_all_members_have_one_winner() {
    let group = std::sync::Arc::new(start_group(3).await);
    let mut changes = tokio::task::JoinSet::new();
    for memory in 1..=12_u64 {
        let group = group.clone();
        changes.spawn(async move {
            let api = &group[memory as usize % group.len()];
            let (status, _) = api.apply("", &format!("race-{memory}"), 1, memory).await;
            (memory, status)
        });
    }
    let results = changes.join_all().await;
    let accepted = results.iter().filter(|(_, status)| *status == 200);
    let accepted: Vec<u64> = accepted.map(|(memory, _)| *memory).collect();
    assert_eq!(accepted.len(), 1, "{results:?}");
    let refused = results.iter().filter(|(_, status)| *status == 409).count();
    assert_eq!(refused, 11, "{results:?}");
    for api in group.iter() {
        until("the accepted change is applied", || {
            let state = api.controller.context().replica.state();
            let stored = state.configuration.deployments.values().next();
            stored.is_some_and(|stored| stored.document.memory_mib == accepted[0])
        })
        .await;
    }
}

#[tokio::test]
async fn a_member_without_a_quorum_sends_the_growing_age_of_its_feed() {
    let mut group = start_group(3).await;
    let (status, content) = group[0].apply("", "c1", 1, 10).await;
    assert_eq!(status, 200, "{content}");
    let last = group.pop().unwrap();
    let mut feed = subscribe(&last, "router", 0).await;
    let context = last.controller.context();
    until("a first confirmation", || {
        context.feed.confirmation(context.clock.now()).is_some()
    })
    .await;
    for api in group {
        api.controller.stop().await;
    }
    let stale = async {
        let mut alive = tokio::time::interval(ALIVE_INTERVAL);
        loop {
            tokio::select! {
                received = feed.receiver.receive() => match received.unwrap().unwrap() {
                    Message::FeedConfirmation { age, .. } if age > STALE_LIMIT => return,
                    _ => {}
                },
                _ = alive.tick() => {
                    let revision = Revision(1);
                    let confirmed = Message::Confirmed { revision };
                    feed.sender.send(&confirmed).await.unwrap();
                }
            }
        }
    };
    let stale = tokio::time::timeout(TIMEOUT, stale).await;
    assert!(
        stale.is_ok(),
        "the age of the confirmation did not exceed the limit in time"
    );
    last.controller.stop().await;
}
