//! A router asks a controller that came back with an empty disk: it knows no members, and
//! its empty answer must not make the router forget those it was told of before. With
//! settings that name machines that are gone it would never find the group again. And 1,000
//! routers are spread over controllers by themselves, near ones first.

use courseshunt_gateway::directory::{Directory, KnownMember};
use courseshunt_types::Zone;
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn member(number: u16, zone: Option<&str>) -> KnownMember {
    KnownMember {
        address: address(number),
        zone: zone.map(Zone::from),
    }
}

fn directory(router: &str) -> Directory {
    Directory::of(router, Zone::from("a"))
}

fn sorted(mut addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
    addresses.sort();
    addresses
}

#[test]
fn an_answer_without_members_forgets_none() {
    let mut directory = directory("router-1");
    directory.set_seeds(vec![address(1)]);
    directory.set_members(vec![member(2, None), member(3, None)]);
    directory.set_members(Vec::new());
    let candidates = directory.candidates();
    assert_eq!(candidates.len(), 3);
    assert_eq!(
        sorted(candidates[..2].to_vec()),
        [address(2), address(3)],
        "members come first"
    );
    assert_eq!(candidates[2], address(1));
}

#[test]
fn nobody_is_asked_twice() {
    let mut directory = directory("router-1");
    directory.set_seeds(vec![address(1), address(2), address(1)]);
    directory.set_members(vec![member(2, None), member(3, None)]);
    let candidates = directory.candidates();
    assert_eq!(
        sorted(candidates),
        [address(1), address(2), address(3)],
        "each once"
    );
}

/// All seven routers of a site left the three founders of its group, their own zone's among
/// them, for the two controllers that joined later, so that two lost controllers cost all of
/// them their feed. They had asked the founders before those listened; what had failed them
/// in that moment counted for half a minute, also while it fed them. From a router's records,
/// in seconds, its own zone's controller being 10.3.0.28:
///
/// ```text
/// -9.993 feed_sought controller 10.3.0.28 problem connection refused
/// -9.831 feed_regained controller 10.3.0.28
/// -6.363 feed_regained controller 10.1.0.23
/// ```
#[test]
fn a_controller_that_feeds_a_router_is_not_left_for_a_worse_one() {
    let mut directory = directory("router-1");
    directory.set_members((1..=5).map(|one| member(one, None)).collect());
    let order = directory.candidates();
    let failed = [order[0], order[1]];
    assert!(
        !directory.has_better(order[0], &failed),
        "the best one feeds it"
    );
    assert!(
        !directory.has_better(order[1], &failed),
        "the better one failed it"
    );
    assert!(directory.has_better(order[3], &failed), "the third did not");
}

/// 1,000 routers at 15 controllers: the busiest has at most one and a half times the mean,
/// and the routers of one that is lost are spread over all others.
#[test]
fn routers_are_spread_over_controllers_also_after_a_loss() {
    let members: Vec<KnownMember> = (1..=15).map(|one| member(one, None)).collect();
    let lost = address(7);
    let mut first = BTreeMap::new();
    let mut after = BTreeMap::new();
    for number in 0..1_000 {
        let mut directory = directory(&format!("router-{number}"));
        directory.set_members(members.clone());
        let candidates = directory.candidates();
        *first.entry(candidates[0]).or_insert(0) += 1;
        if candidates[0] == lost {
            *after.entry(candidates[1]).or_insert(0) += 1;
        }
    }
    assert_eq!(first.len(), 15);
    assert!(first.values().all(|count| *count <= 100), "{first:?}");
    assert!(after.len() >= 12, "{after:?}");
    assert!(after.values().all(|count| *count <= 15), "{after:?}");
}

#[test]
fn members_of_the_own_zone_come_first() {
    let mut directory = directory("router-1");
    directory.set_seeds(vec![address(9)]);
    let members = [(1, "b"), (2, "a"), (3, "b"), (4, "a")];
    let members = members.map(|(number, zone)| member(number, Some(zone)));
    directory.set_members([&members[..], &[member(5, None)]].concat());
    let candidates = directory.candidates();
    assert_eq!(sorted(candidates[..2].to_vec()), [address(2), address(4)]);
    assert_eq!(candidates.len(), 6);
    assert!(directory.has_better(address(1), &[]));
    assert!(directory.has_better(candidates[1], &[]));
    assert!(!directory.has_better(candidates[0], &[]));
    let failed = [address(2), address(4)];
    assert!(
        !directory.has_better(candidates[2], &failed),
        "the near ones failed"
    );
    assert_eq!(directory.next(&failed), Some(candidates[2]));
    assert_eq!(directory.next(&candidates), None);
}

/// A whole fleet starts: routers come while the first three controllers are the only
/// members. Once all have joined, each has its part.
#[test]
fn controllers_that_join_later_get_their_part() {
    let founders = [member(1, None), member(2, None), member(3, None)];
    let all: Vec<KnownMember> = (1..=15).map(|one| member(one, None)).collect();
    let mut follow = BTreeMap::new();
    for number in 0..1_000 {
        let mut directory = directory(&format!("router-{number}"));
        directory.set_members(founders.to_vec());
        let mut present = directory.next(&[]).expect("a member");
        directory.set_members(all.clone());
        if directory.has_better(present, &[]) {
            present = directory.next(&[]).expect("a member");
        }
        *follow.entry(present).or_insert(0) += 1;
    }
    assert_eq!(follow.len(), 15);
    assert!(follow.values().all(|count| *count <= 100), "{follow:?}");
}
