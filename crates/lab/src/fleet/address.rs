//! Addresses of a fleet: each node has an IP number of the loopback network of
//! its own, so that the relay sees who dials whom.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Distance between a node's own port and the relay's port in front of it.
const RELAY_PORT_DISTANCE: u16 = 10_000;
/// Ports that a node listens on.
const HTTP_PORT: u16 = 8080;
const WIRE_PORT: u16 = 8081;

/// What kind of node; each kind has its own range of IP numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NodeKind {
    /// The platform and the weight store.
    Platform,
    /// A controller.
    Controller,
    /// A router.
    Router,
    /// A stand-in runner.
    Runner,
}

/// One node, numbered within its kind from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId {
    /// Its kind.
    pub kind: NodeKind,
    /// Its number.
    pub number: u8,
}

impl NodeKind {
    fn first_host(self) -> u8 {
        match self {
            Self::Platform => 1,
            Self::Controller => 10,
            Self::Router => 40,
            Self::Runner => 100,
        }
    }

    /// The prefix of the nodes' names.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Controller => "controller",
            Self::Router => "router",
            Self::Runner => "runner",
        }
    }
}

impl std::fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}-{}", self.kind.as_str(), self.number)
    }
}

impl NodeId {
    /// A controller.
    #[must_use]
    pub fn controller(number: u8) -> Self {
        let kind = NodeKind::Controller;
        Self { kind, number }
    }

    /// A router.
    #[must_use]
    pub fn router(number: u8) -> Self {
        let kind = NodeKind::Router;
        Self { kind, number }
    }

    /// A runner.
    #[must_use]
    pub fn runner(number: u8) -> Self {
        let kind = NodeKind::Runner;
        Self { kind, number }
    }

    /// The platform.
    #[must_use]
    pub fn platform() -> Self {
        let kind = NodeKind::Platform;
        Self { kind, number: 1 }
    }

    /// Reads a name such as `router-2`.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        let (kind, number) = name.rsplit_once('-')?;
        let kinds = [NodeKind::Controller, NodeKind::Router, NodeKind::Runner];
        let kind = kinds.into_iter().find(|one| one.as_str() == kind)?;
        let number = number.parse().ok()?;
        Some(Self { kind, number })
    }
}

/// The loopback network `127.a.b.0/24` of one fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetNetwork {
    second: u8,
    third: u8,
}

impl FleetNetwork {
    /// A network drawn at random, so that fleets on one machine don't meet.
    #[must_use]
    pub fn draw() -> Self {
        Self {
            second: rand::random::<u8>().clamp(2, 253),
            third: rand::random(),
        }
    }

    /// IP number of a node.
    #[must_use]
    pub fn ip(self, node: NodeId) -> IpAddr {
        let host = node.kind.first_host() + node.number;
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, host))
    }

    /// Where a node serves HTTP.
    #[must_use]
    pub fn http(self, node: NodeId) -> SocketAddr {
        SocketAddr::new(self.ip(node), HTTP_PORT)
    }

    /// Where a node serves the cluster's own protocol.
    #[must_use]
    pub fn wire(self, node: NodeId) -> SocketAddr {
        SocketAddr::new(self.ip(node), WIRE_PORT)
    }

    /// The node that dials from an IP number.
    #[must_use]
    pub fn node_at(self, ip: IpAddr) -> Option<NodeId> {
        let IpAddr::V4(ip) = ip else { return None };
        let [_, second, third, host] = ip.octets();
        if (second, third) != (self.second, self.third) {
            return None;
        }
        let kinds = [
            NodeKind::Runner,
            NodeKind::Router,
            NodeKind::Controller,
            NodeKind::Platform,
        ];
        let kind = kinds.into_iter().find(|one| host > one.first_host())?;
        let number = host - kind.first_host();
        Some(NodeId { kind, number })
    }
}

/// The relay's address in front of a node's own address.
#[must_use]
pub fn relayed(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), address.port() + RELAY_PORT_DISTANCE)
}
