//! A controller that has lost its disk has no members and sends an empty member list. The
//! router must not replace the members that it has by that list: with settings that name
//! machines that no longer exist, it would never find the group again. Also, 1,000 routers
//! spread evenly over the controllers, and those of the own zone come first.

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
fn an_empty_member_list_is_ignored() {
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
fn candidates_have_no_duplicates() {
    let mut directory = directory("router-1");
    directory.set_seeds(vec![address(1), address(2), address(1)]);
    directory.set_members(vec![member(2, None), member(3, None)]);
    let candidates = directory.candidates();
    assert_eq!(
        sorted(candidates),
        [address(1), address(2), address(3)],
        "no duplicates"
    );
}

/// All seven routers of a site left the three founders of its group, among them the controller
/// of their own zone, for the two controllers that joined later. When these two were lost, all
/// routers lost their feed. The routers had dialled the founders before those listened, and
/// that failure counted for half a minute, even while the founder sent them a feed. From a
/// router's records, time in seconds; the controller of its own zone is 10.3.0.28:
///
/// ```text
/// -9.993 feed_sought controller 10.3.0.28 problem connection refused
/// -9.831 feed_regained controller 10.3.0.28
/// -6.363 feed_regained controller 10.1.0.23
/// ```
#[test]
fn a_router_keeps_its_controller_unless_a_preferred_one_is_available() {
    let mut directory = directory("router-1");
    directory.set_members((1..=5).map(|one| member(one, None)).collect());
    let order = directory.candidates();
    let failed = [order[0], order[1]];
    assert!(
        !directory.has_preferred(order[0], &failed),
        "it follows the most preferred one"
    );
    assert!(
        !directory.has_preferred(order[1], &failed),
        "the preferred one failed"
    );
    assert!(
        directory.has_preferred(order[3], &failed),
        "the third one has not failed"
    );
}

/// With 1,000 routers and 15 controllers, the busiest controller has at most 1.5 times the mean
/// number of routers, and the routers of a lost controller spread over all others.
#[test]
fn routers_spread_over_controllers_also_after_a_loss() {
    let members: Vec<KnownMember> = (1..=15).map(|one| member(one, None)).collect();
    let lost = address(7);
    let mut first_choices = BTreeMap::new();
    let mut second_choices = BTreeMap::new();
    for number in 0..1_000 {
        let mut directory = directory(&format!("router-{number}"));
        directory.set_members(members.clone());
        let candidates = directory.candidates();
        *first_choices.entry(candidates[0]).or_insert(0) += 1;
        if candidates[0] == lost {
            *second_choices.entry(candidates[1]).or_insert(0) += 1;
        }
    }
    assert_eq!(first_choices.len(), 15);
    assert!(
        first_choices.values().all(|count| *count <= 100),
        "{first_choices:?}"
    );
    assert!(second_choices.len() >= 12, "{second_choices:?}");
    assert!(
        second_choices.values().all(|count| *count <= 15),
        "{second_choices:?}"
    );
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
    assert!(directory.has_preferred(address(1), &[]));
    assert!(directory.has_preferred(candidates[1], &[]));
    assert!(!directory.has_preferred(candidates[0], &[]));
    let failed = [address(2), address(4)];
    assert!(
        !directory.has_preferred(candidates[2], &failed),
        "the local ones failed"
    );
    assert_eq!(directory.next(&failed), Some(candidates[2]));
    assert_eq!(directory.next(&candidates), None);
}

/// When a whole site starts, routers subscribe while the first three controllers are the only
/// members. Once all controllers have joined, each of them must get its share of the routers.
#[test]
fn controllers_that_join_later_get_their_share() {
    let founders = [member(1, None), member(2, None), member(3, None)];
    let all: Vec<KnownMember> = (1..=15).map(|one| member(one, None)).collect();
    let mut followed = BTreeMap::new();
    for number in 0..1_000 {
        let mut directory = directory(&format!("router-{number}"));
        directory.set_members(founders.to_vec());
        let mut current = directory.next(&[]).expect("a candidate");
        directory.set_members(all.clone());
        if directory.has_preferred(current, &[]) {
            current = directory.next(&[]).expect("a candidate");
        }
        *followed.entry(current).or_insert(0) += 1;
    }
    assert_eq!(followed.len(), 15);
    assert!(followed.values().all(|count| *count <= 100), "{followed:?}");
}
