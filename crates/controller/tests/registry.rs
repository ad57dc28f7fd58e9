//! Contract of the router registry: which routers count as live, at which revision, as controllers
//! report their routers to each other.

use courseshunt_controller::feed::{REPORT_TIMEOUT, RegisteredRouter, RouterRegistry};
use courseshunt_types::{ControllerId, Incarnation, Millis, Revision, Timestamp};
use courseshunt_wire::message::RouterEndpoint;

const OTHER: ControllerId = ControllerId(2);

fn router(name: &str, revision: u64) -> RegisteredRouter {
    RegisteredRouter {
        endpoint: RouterEndpoint {
            router: name.into(),
            incarnation: Incarnation(1),
            wire_address: "127.0.0.1:1".to_owned(),
            zone: "a".into(),
            leaving: false,
        },
        http_address: "127.0.0.1:2".to_owned(),
        revision: Revision(revision),
    }
}

/// `name@revision` of all live routers.
fn live(registry: &RouterRegistry) -> String {
    let all = registry.all().into_iter();
    let named = all.map(|one| format!("{}@{}", one.endpoint.router, one.revision));
    named.collect::<Vec<_>>().join(" ")
}

#[test]
fn reports_keep_registries_consistent() {
    let (here, there) = (RouterRegistry::default(), RouterRegistry::default());
    here.insert(router("a", 1));
    there.insert(router("b", 1));
    there.insert(router("c", 1));
    here.apply_report(OTHER, there.report(None), Timestamp(1));
    assert_eq!(live(&here), "a@1 b@1 c@1");

    // A delta contains only changed routers; a removed router is absent from its list.
    let reported = there.last_change();
    there.confirm(&"b".into(), Revision(2));
    there.remove(&router("c", 1).endpoint);
    let delta = there.report(Some(reported));
    assert_eq!((delta.full, delta.routers.len()), (false, 1));
    here.apply_report(OTHER, delta, Timestamp(2));
    assert_eq!(live(&here), "a@1 b@2");

    // The local entry of a router that moved here takes precedence.
    here.insert(router("b", 1));
    assert_eq!(live(&here), "a@1 b@1");
    here.confirm(&"b".into(), Revision(3));
    here.confirm(&"b".into(), Revision(2));
    assert_eq!(live(&here), "a@1 b@3");
    here.remove(&router("b", 1).endpoint);

    // A full report replaces what a lost report contained.
    there.insert(router("d", 2));
    here.apply_report(OTHER, there.report(None), Timestamp(3));
    assert_eq!(live(&here), "a@1 b@2 d@2");

    // The routers of a controller without reports are removed after the timeout.
    let limit = Timestamp(3) + REPORT_TIMEOUT;
    here.expire(limit);
    assert_eq!(live(&here), "a@1 b@2 d@2");
    here.expire(limit + Millis(1));
    assert_eq!(live(&here), "a@1");
}

#[test]
fn an_old_incarnation_does_not_remove_the_new_one() {
    let registry = RouterRegistry::default();
    registry.insert(router("a", 1));
    let mut newer = router("a", 1);
    newer.endpoint.incarnation = Incarnation(2);
    registry.insert(newer);
    registry.remove(&router("a", 1).endpoint);
    assert_eq!(live(&registry), "a@1");
}

#[test]
fn a_started_controller_lists_controllers_without_a_report() {
    let registry = RouterRegistry::default();
    let others = [ControllerId(2), ControllerId(3)];
    assert_eq!(
        registry.controllers_without_report(others, Timestamp(1)),
        others
    );
    let report = RouterRegistry::default().report(None);
    registry.apply_report(OTHER, report, Timestamp(1));
    assert_eq!(
        registry.controllers_without_report(others, Timestamp(1)),
        [ControllerId(3)]
    );
    // After the timeout, a controller without a report counts as having no routers.
    let late = Timestamp::at(REPORT_TIMEOUT.0 + 1);
    assert!(registry.controllers_without_report(others, late).is_empty());
}

#[test]
fn the_epoch_changes_only_with_the_fleet() {
    let registry = RouterRegistry::default();
    let (first, frames) = registry.frames();
    assert_eq!(frames.len(), 1);
    registry.insert(router("a", 1));
    let (second, _) = registry.frames();
    registry.confirm(&"a".into(), Revision(2));
    let (third, _) = registry.frames();
    assert!(second > first);
    assert_eq!(third, second);
}
