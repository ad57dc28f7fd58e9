//! Validation of configurations, route look-up and the choice of a target.

use courseshunt_services::routes::pick_target;
use courseshunt_services::{
    ConfigurationError, RequestKind, Route, RouteTable, Service, ServiceConfiguration, Target,
    validate,
};
use courseshunt_types::Millis;

fn route(name: &str, host: &str, prefix: &str, targets: &[(&str, f64)]) -> Route {
    let targets = targets.iter().map(|(service, weight)| Target {
        service: (*service).to_owned(),
        weight: *weight,
    });
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RequestKind::Safe,
        timeout: Millis(1_000),
        objective: Millis(100),
        event_gap_objective: None,
        priority: 0,
        targets: targets.collect(),
        max_attempts: 2,
        resumable: false,
        public: false,
    }
}

fn configuration(routes: Vec<Route>) -> ServiceConfiguration {
    let services = ["one", "two"].map(|name| Service {
        name: name.to_owned(),
        max_connections: 10,
        health_path: None,
        engine: None,
    });
    ServiceConfiguration {
        number: 1,
        routes,
        services: services.to_vec(),
        ..ServiceConfiguration::default()
    }
}

#[test]
fn invalid_configurations_are_rejected() {
    type Check = fn(&ConfigurationError) -> bool;
    let mut no_timeout = route("r", "h", "/a/", &[("one", 1.0)]);
    no_timeout.timeout = Millis(0);
    let cases: [(&str, Vec<Route>, Check); 7] = [
        (
            "unknown service",
            vec![route("r", "h", "/a/", &[("three", 1.0)])],
            |error| matches!(error, ConfigurationError::UnknownService { .. }),
        ),
        (
            "unknown service without weight",
            vec![route("r", "h", "/a/", &[("one", 1.0), ("three", 0.0)])],
            |error| matches!(error, ConfigurationError::UnknownService { .. }),
        ),
        (
            "duplicate route",
            vec![
                route("r", "h", "/a/", &[("one", 1.0)]),
                route("s", "h", "/a/", &[("two", 1.0)]),
            ],
            |error| matches!(error, ConfigurationError::DuplicateRoute { .. }),
        ),
        (
            "weights that add up to 0",
            vec![route("r", "h", "/a/", &[("one", 0.0), ("two", 0.0)])],
            |error| matches!(error, ConfigurationError::InvalidWeights { .. }),
        ),
        (
            "negative weight",
            vec![route("r", "h", "/a/", &[("one", -1.0), ("two", 2.0)])],
            |error| matches!(error, ConfigurationError::InvalidWeights { .. }),
        ),
        ("no targets", vec![route("r", "h", "/a/", &[])], |error| {
            matches!(error, ConfigurationError::InvalidWeights { .. })
        }),
        ("timeout of 0", vec![no_timeout], |error| {
            matches!(error, ConfigurationError::ZeroTimeout { .. })
        }),
    ];
    for (name, routes, check) in cases {
        let error = validate(&configuration(routes)).expect_err(name);
        assert!(check(&error), "{name}: {error}");
    }
}

#[test]
fn longest_matching_prefix_is_found() {
    let routes = vec![
        route("all", "h", "/", &[("one", 1.0)]),
        route("a", "h", "/a/", &[("one", 1.0)]),
        route("ab", "h", "/a/b/", &[("one", 1.0)]),
        route("other", "g", "/a/", &[("one", 1.0)]),
    ];
    let table = RouteTable::new(configuration(routes));
    let cases = [
        ("h", "/a/b/c", Some("ab")),
        ("h", "/a/b", Some("a")),
        ("h", "/ab", Some("all")),
        ("H:8080", "/a/", Some("a")),
        ("g", "/a/x/y/z", Some("other")),
        ("g", "/b/", None),
        ("i", "/a/", None),
    ];
    for (host, path, expected) in cases {
        let found = table.find(host, path).map(|route| route.name.as_str());
        assert_eq!(found, expected, "{host}{path}");
    }
}

#[test]
fn traffic_is_split_by_weight() {
    let targets = route(
        "r",
        "h",
        "/",
        &[("one", 90.0), ("none", 0.0), ("two", 10.0)],
    )
    .targets;
    let picked = (0..1000).map(|draw| pick_target(&targets, f64::from(draw) / 1000.0));
    let names: Vec<&str> = picked
        .flatten()
        .map(|target| target.service.as_str())
        .collect();
    let count = |name: &str| names.iter().filter(|one| **one == name).count();
    assert_eq!((count("one"), count("none"), count("two")), (900, 0, 100));
}
