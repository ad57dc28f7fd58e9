//! Terms of reservations: all attempts of one request have the same key, other requests have other
//! keys, and no reservation is asked for where it is of no use.

use courseshunt_gateway::reservation::{NoTerms, reservation_terms};
use courseshunt_services::{
    ClientLimits, Engine, PrefixPart, PromptShape, RequestKind, ReservationTerms, Route,
    RouteTable, Service, ServiceConfiguration, Target, Tenant,
};
use courseshunt_types::Millis;
use std::collections::BTreeMap;

fn shape() -> PromptShape {
    PromptShape {
        model: "m".to_owned(),
        adapter: Some("a1".to_owned()),
        prompt_tokens: 1_000,
        output_tokens: 100,
        parts: vec![PrefixPart { id: 7, tokens: 800 }],
    }
}

fn tenant(name: &str) -> Tenant {
    Tenant {
        name: name.to_owned(),
        keys: Vec::new(),
        priority: None,
        quota: None,
    }
}

fn route(name: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "h.example".to_owned(),
        prefix: "/".to_owned(),
        kind: RequestKind::Streaming,
        timeout: Millis(20_000),
        objective: Millis(6_000),
        event_gap_objective: None,
        priority: 1,
        targets: vec![Target {
            service: "s".to_owned(),
            weight: 1.0,
        }],
        max_attempts: 2,
        resumable: false,
        public: false,
    }
}

fn table() -> RouteTable {
    table_with(None)
}

fn table_with(engine: Option<Engine>) -> RouteTable {
    RouteTable::new(ServiceConfiguration {
        number: 1,
        routes: vec![route("r")],
        services: vec![Service {
            name: "s".to_owned(),
            max_connections: 10,
            health_path: None,
            engine,
        }],
        limits: ClientLimits::default(),
        tenants: Vec::new(),
        earlier_services: BTreeMap::new(),
    })
}

/// Terms of a request whose client waits for so long and returns after a third of it.
fn terms(tenant_name: &str, route_name: &str, shape: &PromptShape, left: u64) -> ReservationTerms {
    let (tenant, route) = (tenant(tenant_name), route(route_name));
    let latest = Some(Millis(left / 3));
    reservation_terms(&table(), &tenant, &route, shape, Millis(left), latest).expect("terms")
}

#[test]
fn a_retry_has_the_same_key_with_less_time_left() {
    let first = terms("t", "r", &shape(), 20_000);
    let retry = terms("t", "r", &shape(), 15_000);
    assert_eq!(first.key, retry.key);
    assert_eq!(first.latest_return, Millis(6_666));
    assert_eq!(retry.latest_return, Millis(5_000));
}

#[test]
fn other_requests_have_other_keys() {
    let key = terms("t", "r", &shape(), 20_000).key;
    let change = |change: fn(&mut PromptShape)| {
        let mut changed = shape();
        change(&mut changed);
        terms("t", "r", &changed, 20_000).key
    };
    let others = [
        terms("u", "r", &shape(), 20_000).key,
        terms("t", "q", &shape(), 20_000).key,
        terms("tr", "", &shape(), 20_000).key,
        change(|shape| shape.model = "n".to_owned()),
        change(|shape| shape.adapter = None),
        change(|shape| shape.adapter = Some(String::new())),
        change(|shape| shape.prompt_tokens += 1),
        change(|shape| shape.output_tokens += 1),
        change(|shape| shape.parts[0].id += 1),
        change(|shape| shape.parts.clear()),
    ];
    let different: std::collections::BTreeSet<u64> = others.into_iter().collect();
    assert_eq!(different.len(), others.len());
    assert!(!different.contains(&key));
}

/// The response takes until the objective, and must come before the deadline.
#[test]
fn the_return_leaves_time_for_the_response() {
    let left = Millis(8_000);
    let (tenant, route) = (tenant("t"), route("r"));
    let given = |left, latest| reservation_terms(&table(), &tenant, &route, &shape(), left, latest);
    let terms = given(left, Some(Millis(2_666))).expect("terms");
    assert_eq!(terms.latest_return, Millis(2_000));
    let too_late = given(Millis(6_000), Some(Millis(2_000)));
    assert_eq!(too_late, Err(NoTerms::DoesNotReturn));
    assert_eq!(given(left, None), Err(NoTerms::DoesNotReturn));
}

/// Guards against units that are withheld for a request that can't be served.
#[test]
fn no_reservation_is_asked_for_a_model_that_is_not_offered() {
    let engine = Engine {
        slots: 1,
        memory_mb: 1.0,
        adapter_slots: 1,
        kv_capacity_tokens: None,
        loads_per_second: 1.0,
        cache_memory_mb: 1.0,
        cache_disk_mb: 1.0,
        models: BTreeMap::new(),
        earlier_sizes: BTreeMap::new(),
    };
    let (tenant, route) = (tenant("t"), route("r"));
    let table = table_with(Some(engine));
    let latest = Some(Millis(6_666));
    let refused = reservation_terms(&table, &tenant, &route, &shape(), Millis(20_000), latest);
    assert_eq!(refused, Err(NoTerms::UnknownModel));
}
