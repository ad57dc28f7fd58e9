//! The list of live routers is built only for a feed that lacks a change.

use courseshunt_controller::feed::{RegisteredRouter, RouterRegistry};
use courseshunt_types::{Epoch, Incarnation, Revision};
use courseshunt_wire::message::RouterEndpoint;

fn router(name: &str, incarnation: u64) -> RegisteredRouter {
    RegisteredRouter {
        endpoint: RouterEndpoint {
            router: name.into(),
            incarnation: Incarnation(incarnation),
            wire_address: "127.0.0.1:1".to_owned(),
            zone: "a".into(),
            leaving: false,
        },
        http_address: "127.0.0.1:2".to_owned(),
        revision: Revision(0),
    }
}

#[test]
fn a_feed_that_has_the_list_gets_none() {
    let registry = RouterRegistry::default();
    registry.insert(router("router-1", 1));
    let first = registry.update_after(Epoch(0)).unwrap();
    assert_eq!(first.routers.len(), 1);
    assert_eq!(registry.update_after(first.epoch), None);

    registry.confirm(&"router-1".into(), Revision(5));
    assert_eq!(
        registry.update_after(first.epoch),
        None,
        "a revision is no change"
    );

    registry.insert(router("router-2", 1));
    let second = registry.update_after(first.epoch).unwrap();
    assert_eq!(second.routers.len(), 2);

    registry.remove(&router("router-2", 9).endpoint);
    assert_eq!(
        registry.update_after(second.epoch),
        None,
        "an older incarnation left"
    );

    registry.remove(&router("router-2", 1).endpoint);
    let third = registry.update_after(second.epoch).unwrap();
    assert_eq!(third.routers.len(), 1);
}
