//! The leader's choice of routers that forward requests, for 8 and for 340 routers.

use courseshunt_services::{ForwarderDirectory, ForwardingReport};
use courseshunt_types::Zone;
use std::collections::BTreeMap;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Bound of an answer: it does not grow with the fleet.
const MAX_NAMED: usize = 4;

fn zone(number: usize) -> Zone {
    Zone::from(ZONES[number % ZONES.len()])
}

fn name(number: usize) -> String {
    format!("router-{number}")
}

fn report(number: usize, available: bool) -> ForwardingReport {
    ForwardingReport {
        address: format!("10.0.0.{number}:7000"),
        zone: zone(number),
        available,
        lost_paths: 0,
    }
}

/// A fleet in which routers for which `is_cut` holds report that they are not available.
fn fleet(routers: usize, is_cut: impl Fn(usize) -> bool) -> ForwarderDirectory {
    let mut directory = ForwarderDirectory::default();
    for number in 0..routers {
        directory.record(&name(number), report(number, !is_cut(number)));
    }
    directory
}

#[test]
fn only_available_routers_other_than_the_asking_one_are_named() {
    for routers in [8, 340] {
        let directory = fleet(routers, |number| number % 3 == 0);
        for seed in 0..1_000 {
            let asking = usize::try_from(seed).unwrap_or(0) % routers;
            let named = directory.candidates(&name(asking), &zone(asking), seed);
            assert!((1..=MAX_NAMED).contains(&named.len()), "{named:?}");
            for one in &named {
                let number: usize = one.router.as_str()[7..].parse().expect("a number");
                assert!(
                    !number.is_multiple_of(3) && number != asking,
                    "{number} for {asking}"
                );
            }
        }
    }
}

#[test]
fn the_only_available_router_is_named_also_from_another_zone() {
    let directory = fleet(8, |number| number != 5);
    let named = directory.candidates(&name(0), &zone(0), 1);
    assert_eq!(named.len(), 1);
    assert_eq!(named[0].router.as_str(), "router-5");
    assert!(directory.candidates(&name(5), &zone(5), 1).is_empty());
}

#[test]
fn a_zone_that_loses_its_paths_as_a_whole_gets_forwarders_of_other_zones_before_it_is_known() {
    let directory = fleet(340, |_| false);
    for seed in 0..1_000 {
        let named = directory.candidates(&name(0), &zone(0), seed);
        let others = named.iter().filter(|one| one.zone != zone(0)).count();
        assert!(others >= 2, "{named:?}");
    }
}

#[test]
fn half_of_340_routers_spread_their_requests_over_the_others() {
    let directory = fleet(340, |number| number < 170);
    let mut load: BTreeMap<String, usize> = BTreeMap::new();
    for asking in 0..170_u64 {
        let number = usize::try_from(asking).expect("small");
        let named = directory.candidates(&name(number), &zone(number), asking);
        for one in named {
            *load.entry(one.router.as_str().to_owned()).or_default() += 1;
        }
    }
    let mean = 170.0 * MAX_NAMED as f64 / 170.0;
    let most = load.values().copied().max().unwrap_or(0);
    assert!((most as f64) < 4.0 * mean, "{most} of {mean} on average");
}

#[test]
fn a_router_with_lost_paths_is_named_after_those_without() {
    let mut directory = fleet(8, |_| false);
    for number in [1, 2, 4, 5, 6] {
        let report = ForwardingReport {
            lost_paths: 3,
            ..report(number, true)
        };
        directory.record(&name(number), report);
    }
    for seed in 0..100 {
        let named = directory.candidates(&name(0), &zone(0), seed);
        let names: Vec<&str> = named.iter().map(|one| one.router.as_str()).collect();
        assert_eq!(names.len(), MAX_NAMED);
        assert!(names[..2].contains(&"router-3") && names[..2].contains(&"router-7"));
    }
}

#[test]
fn a_router_that_left_or_stops_is_no_longer_named() {
    let mut directory = fleet(2, |_| false);
    assert_eq!(directory.candidates("router-0", &zone(0), 1).len(), 1);
    directory.record("router-1", report(1, false));
    assert!(directory.candidates("router-0", &zone(0), 1).is_empty());
    directory.record("router-1", report(1, true));
    directory.remove("router-1");
    assert!(directory.candidates("router-0", &zone(0), 1).is_empty());
}
