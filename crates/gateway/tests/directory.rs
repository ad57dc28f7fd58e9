//! A router asks a controller that came back with an empty disk: it knows no members, and
//! its empty answer must not make the router forget those it was told of before. With
//! settings that name machines that are gone it would never find the group again.

use courseshunt_gateway::directory::Directory;
use std::net::SocketAddr;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

#[test]
fn an_answer_without_members_forgets_none() {
    let mut directory = Directory::default();
    directory.set_seeds(vec![address(1)]);
    directory.set_members(vec![address(2), address(3)]);
    directory.set_members(Vec::new());
    assert_eq!(directory.candidates(), [address(2), address(3), address(1)]);
}

#[test]
fn the_leader_is_asked_first_and_nobody_twice() {
    let mut directory = Directory::default();
    directory.set_seeds(vec![address(1), address(2)]);
    directory.set_members(vec![address(2), address(3)]);
    directory.set_leader(Some(address(3)));
    assert_eq!(directory.candidates(), [address(3), address(2), address(1)]);
}
