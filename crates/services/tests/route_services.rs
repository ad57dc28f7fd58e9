//! For which services the routes leave open which of several services began a stream.

use courseshunt_services::stream_origins::ORIGIN_RETENTION;
use courseshunt_services::{
    RequestKind, Route, RouteServices, RouteTable, ServiceConfiguration, Target,
};
use courseshunt_types::{Millis, Timestamp};

const START: Timestamp = Timestamp::at(1_000);

/// A route at this prefix that sends to these services with these weights.
fn route(prefix: &str, targets: &[(&str, f64)]) -> Route {
    let targets = targets.iter().map(|(service, weight)| Target {
        service: (*service).to_owned(),
        weight: *weight,
    });
    Route {
        name: prefix.to_owned(),
        host: "example.org".to_owned(),
        prefix: prefix.to_owned(),
        kind: RequestKind::Streaming,
        timeout: Millis(10_000),
        objective: Millis(1_000),
        event_gap_objective: None,
        priority: 0,
        targets: targets.collect(),
        max_attempts: 2,
        resumable: true,
        public: true,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(ServiceConfiguration {
        routes,
        ..ServiceConfiguration::default()
    })
}

/// Applies tables in order, all at `START`.
fn after_changes(tables: Vec<Vec<Route>>) -> RouteServices {
    let mut services = RouteServices::default();
    let mut before: Option<RouteTable> = None;
    for routes in tables {
        let next = table(routes);
        services.apply(before.as_ref(), &next, START);
        before = Some(next);
    }
    services
}

#[test]
fn a_route_to_one_service_is_not_ambiguous() {
    let services = after_changes(vec![vec![route("/", &[("chat", 1.0), ("old", 0.0)])]]);
    assert!(!services.may_have_begun_elsewhere("chat", START));
    assert!(!services.may_have_begun_elsewhere("old", START));
}

#[test]
fn a_split_route_makes_its_services_ambiguous() {
    let split = route("/", &[("chat", 1.0), ("new", 0.1)]);
    let services = after_changes(vec![vec![split, route("/other/", &[("search", 1.0)])]]);
    let later = START + ORIGIN_RETENTION + Millis(1);
    for service in ["chat", "new"] {
        assert!(
            services.may_have_begun_elsewhere(service, later),
            "{service}"
        );
    }
    assert!(!services.may_have_begun_elsewhere("search", START));
}

#[test]
fn services_stay_ambiguous_after_the_end_of_a_split() {
    let split = vec![route("/", &[("chat", 1.0), ("new", 1.0)])];
    let services = after_changes(vec![split, vec![route("/", &[("new", 1.0)])]]);
    let last = START + ORIGIN_RETENTION;
    for service in ["chat", "new"] {
        assert!(
            services.may_have_begun_elsewhere(service, last),
            "{service}"
        );
        assert!(
            !services.may_have_begun_elsewhere(service, last + Millis(1)),
            "{service}"
        );
    }
}

#[test]
fn a_route_that_changes_its_service_makes_both_ambiguous() {
    let before = vec![route("/", &[("chat", 1.0)])];
    let services = after_changes(vec![before, vec![route("/", &[("new", 1.0)])]]);
    assert!(services.may_have_begun_elsewhere("chat", START));
    assert!(services.may_have_begun_elsewhere("new", START));
}

#[test]
fn a_longer_prefix_alters_where_its_paths_lead() {
    let before = vec![route("/", &[("chat", 1.0)])];
    let after = vec![
        route("/", &[("chat", 1.0)]),
        route("/fast/", &[("new", 1.0)]),
    ];
    let services = after_changes(vec![before.clone(), after.clone()]);
    assert!(services.may_have_begun_elsewhere("chat", START));
    assert!(services.may_have_begun_elsewhere("new", START));
    let services = after_changes(vec![after, before]);
    assert!(services.may_have_begun_elsewhere("chat", START));
    assert!(services.may_have_begun_elsewhere("new", START));
}

#[test]
fn a_route_that_returns_with_another_service_makes_both_ambiguous() {
    let other = route("/other/", &[("search", 1.0)]);
    let first = vec![route("/a/", &[("chat", 1.0)]), other.clone()];
    for third in ["/a/", "/"] {
        let returned = vec![route(third, &[("new", 1.0)]), other.clone()];
        let services = after_changes(vec![
            first.clone(),
            vec![other.clone()],
            vec![other.clone()],
            returned,
        ]);
        assert!(services.may_have_begun_elsewhere("chat", START), "{third}");
        assert!(services.may_have_begun_elsewhere("new", START), "{third}");
    }
}

#[test]
fn added_and_removed_routes_of_other_paths_alter_nothing() {
    let one = route("/a/", &[("chat", 1.0)]);
    let two = route("/b/", &[("chat", 1.0)]);
    let both = vec![one.clone(), two];
    let services = after_changes(vec![vec![one.clone()], both, vec![one]]);
    assert!(!services.may_have_begun_elsewhere("chat", START));
}

#[test]
fn a_change_of_weights_alters_nothing_else() {
    let before = vec![route("/", &[("chat", 1.0)])];
    let services = after_changes(vec![before, vec![route("/", &[("chat", 2.0)])]]);
    assert!(!services.may_have_begun_elsewhere("chat", START));
}
