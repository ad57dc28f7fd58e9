//! Contract of the operators' API and the feed over a group of controllers: any
//! member takes a change, and knows the routers of all.

mod common;

use common::{Api, PATIENCE, start_group, subscribe, until};
use courseshunt_types::{Millis, Revision};
use courseshunt_wire::Message;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Age at which routers leave a feed.
const STALE_LIMIT: Millis = Millis(3_000);
/// Time between a router's signs of life.
const ALIVE_INTERVAL: Duration = Duration::from_millis(200);

/// Follows a feed and confirms each revision up to the one that `allowed` gives.
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
async fn any_member_takes_a_change_and_waits_for_the_routers_of_all() {
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
    until("all routers are known to all", || {
        group.iter().all(|api| routers_at(api) == 3)
    })
    .await;
    // Through each member in turn, followers included.
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
    // One router confirms nothing newer: every member names it.
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
    assert_eq!(content["in_force"], true, "a resend waits, too: {content}");
    // A router that has left is not waited for.
    routers.remove(1).abort();
    until("the router is forgotten", || {
        group.iter().all(|api| routers_at(api) == 2)
    })
    .await;
    drop(allow);
    for api in group {
        api.controller.stop().await;
    }
}

#[tokio::test]
async fn the_configuration_goes_on_after_the_leader_has_stopped() {
    let mut group = start_group(3).await;
    let (status, content) = group[0].apply("", "c1", 1, 10).await;
    assert_eq!(status, 200, "{content}");
    let leader = group.iter().position(Api::leads).unwrap();
    group.remove(leader).controller.stop().await;
    // A resend of the first, then a new one, through both that are left.
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
    // A router that had both from the member that is gone gets nothing older.
    for api in &group {
        let mut feed = subscribe(api, "moved", 2).await;
        let confirmed = async {
            loop {
                match feed.receiver.receive().await.unwrap().unwrap() {
                    Message::Configuration(update) => panic!("older or equal: {update:?}"),
                    Message::FeedConfirmation { revision, .. } if revision >= Revision(2) => return,
                    _ => {}
                }
            }
        };
        let confirmed = tokio::time::timeout(PATIENCE, confirmed).await;
        assert!(confirmed.is_ok(), "revision 2 was not confirmed in time");
    }
    for api in group {
        api.controller.stop().await;
    }
}

#[tokio::test]
async fn operators_who_race_through_all_members_have_one_winner() {
    let group = std::sync::Arc::new(start_group(3).await);
    let mut racers = tokio::task::JoinSet::new();
    for memory in 1..=12_u64 {
        let group = group.clone();
        racers.spawn(async move {
            let api = &group[memory as usize % group.len()];
            let (status, _) = api.apply("", &format!("race-{memory}"), 1, memory).await;
            (memory, status)
        });
    }
    let results = racers.join_all().await;
    let won = results.iter().filter(|(_, status)| *status == 200);
    let won: Vec<u64> = won.map(|(memory, _)| *memory).collect();
    assert_eq!(won.len(), 1, "{results:?}");
    let lost = results.iter().filter(|(_, status)| *status == 409).count();
    assert_eq!(lost, 11, "{results:?}");
    for api in group.iter() {
        until("the winner is applied", || {
            let state = api.controller.context().replica.state();
            let stored = state.configuration.deployments.values().next();
            stored.is_some_and(|stored| stored.document.memory_mib == won[0])
        })
        .await;
    }
}

#[tokio::test]
async fn a_member_without_a_quorum_tells_how_old_its_feed_is() {
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
    let grown_old = async {
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
    let grown_old = tokio::time::timeout(PATIENCE, grown_old).await;
    assert!(grown_old.is_ok(), "the confirmation did not grow old");
    last.controller.stop().await;
}
