//! A router that reaches no controller fetches newer revisions from another
//! router, and never applies an older one.

mod common;

use common::{FakeController, WAIT_TIMEOUT, start_router_named};
use courseshunt_router::Router;
use courseshunt_router::control::RelaySource;
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{Epoch, Incarnation, Millis, Revision};
use courseshunt_wire::message::{ConfigurationUpdate, FleetUpdate, RouterEndpoint};
use courseshunt_wire::{Connection, Message};
use std::time::Duration;

fn update(revision: u64) -> Message {
    Message::Configuration(ConfigurationUpdate {
        full: false,
        revision: Revision(revision),
        deployments: Vec::new(),
        removed: Vec::new(),
        tenants: None,
        more: false,
    })
}

fn fleet(routers: &[&Router]) -> Message {
    let endpoints = routers.iter().map(|router| RouterEndpoint {
        router: router.context().settings.id.clone(),
        incarnation: Incarnation(1),
        wire_address: router.wire_address.to_string(),
        zone: "a".into(),
        leaving: false,
    });
    Message::Fleet(FleetUpdate {
        epoch: Epoch(1),
        routers: endpoints.collect(),
    })
}

/// Sends feed messages to a router until `condition` holds; accepts a new
/// connection if the router reconnects meanwhile.
async fn feed_until(
    controller: &FakeController,
    feed: &mut Connection,
    messages: &[Message],
    condition: impl Fn() -> bool,
) {
    let feeding = async {
        while !condition() {
            for message in messages {
                if feed.sender.send(message).await.is_err() {
                    *feed = controller.router().await.0;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let fed = tokio::time::timeout(WAIT_TIMEOUT, feeding).await;
    assert!(fed.is_ok(), "timed out waiting until the feed is applied");
}

fn confirmation(revision: u64) -> Message {
    Message::FeedConfirmation {
        age: Millis(0),
        revision: Revision(revision),
    }
}

#[tokio::test]
async fn router_without_a_controller_fetches_from_another_router() {
    let controllers = [FakeController::start().await, FakeController::start().await];
    let first = start_router_named("router-1", &[controllers[0].address]).await;
    let second = start_router_named("router-2", &[controllers[1].address]).await;
    let (first_view, second_view) = (first.context().view.clone(), second.context().view.clone());
    let [first_controller, second_controller] = controllers;
    let mut first_feed = first_controller.router().await.0;
    let mut second_feed = second_controller.router().await.0;
    let routers = fleet(&[&first, &second]);
    let old = [update(3), confirmation(3), routers.clone()];
    feed_until(&second_controller, &mut second_feed, &old, || {
        second_view.is_synced() && second_view.routers().len() == 2
    })
    .await;
    // The second router permanently loses its controller.
    drop((second_feed, second_controller));
    let new = [update(6), confirmation(6), routers];
    feed_until(&first_controller, &mut first_feed, &new, || {
        first_view.is_synced() && second_view.revision() == Revision(6)
    })
    .await;
    first.stop().await;
    second.stop().await;
}

#[test]
fn relay_sends_only_newer_revisions_with_the_confirmation_age() {
    let view = std::sync::Arc::new(courseshunt_router::configuration::ConfigurationView::default());
    let clock = MonotonicClock::start();
    let relay = RelaySource {
        view: view.clone(),
        clock,
    };
    let confirmation_age = |messages: &[Message]| match messages.last() {
        Some(Message::FeedConfirmation { age, .. }) => *age,
        other => panic!("expected a confirmation, got {other:?}"),
    };
    // Without any confirmation the reported age is the maximum.
    let unconfirmed = relay.answer(Revision(0));
    assert_eq!(
        (unconfirmed.len(), confirmation_age(&unconfirmed)),
        (1, Millis(u64::MAX))
    );
    let Message::Configuration(five) = update(5) else {
        unreachable!("`update` returns a configuration message")
    };
    view.apply_configuration(five);
    view.confirm(clock.now(), Revision(5));
    for (revision, messages) in [(0, 2), (4, 2), (5, 1), (6, 1)] {
        let answer = relay.answer(Revision(revision));
        assert_eq!(answer.len(), messages, "for a router at {revision}");
        assert!(confirmation_age(&answer) < Millis(u64::MAX));
    }
}
