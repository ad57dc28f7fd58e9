//! Tables of settings.

use std::net::{IpAddr, SocketAddr};

/// What values a setting takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// `ip:port`.
    Address,
    /// An IP number.
    Ip,
    /// A path of a file or folder.
    Path,
    /// Any text that is not empty.
    Text,
    /// A whole number within bounds, in the unit that the help text names.
    Integer {
        /// Smallest allowed.
        min: u64,
        /// Largest allowed.
        max: u64,
    },
    /// One of some words.
    Choice(&'static [&'static str]),
    /// `id=ip:port` items, separated by commas.
    Peers,
    /// `ip:port` items, separated by commas.
    Addresses,
    /// `runner=ip:port=zone` items, separated by commas.
    Machines,
}

/// One machine of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineAddress {
    /// The runner on it.
    pub name: String,
    /// Address of the runner.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
}

/// One setting.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Setting {
    /// Key in the file; the flag has `-` in place of `_`.
    pub key: &'static str,
    /// Allowed values.
    pub kind: Kind,
    /// Value when none is given; `None` when one must be given.
    pub default: Option<&'static str>,
    /// What it is, with its unit.
    pub help: &'static str,
}

impl Setting {
    /// Name of the flag, without dashes.
    #[must_use]
    pub fn flag(&self) -> String {
        self.key.replace('_', "-")
    }
}

impl Kind {
    /// What is allowed, for people.
    #[must_use]
    pub fn allowed(&self) -> String {
        match self {
            Self::Address => "an address such as 127.0.0.1:7100".to_owned(),
            Self::Ip => "an IP number such as 127.0.0.1".to_owned(),
            Self::Path => "a path".to_owned(),
            Self::Text => "text that is not empty".to_owned(),
            Self::Integer { min, max } => format!("a whole number from {min} to {max}"),
            Self::Choice(words) => format!("one of {}", words.join(", ")),
            Self::Peers => "items such as 1=127.0.0.1:7100, separated by commas".to_owned(),
            Self::Addresses => "addresses such as 127.0.0.1:7100, separated by commas".to_owned(),
            Self::Machines => {
                "items such as runner-1=127.0.0.1:9001=zone-1, separated by commas".to_owned()
            }
        }
    }

    /// Whether `value` is allowed.
    #[must_use]
    pub fn accepts(&self, value: &str) -> bool {
        match self {
            Self::Address => value.parse::<SocketAddr>().is_ok(),
            Self::Ip => value.parse::<IpAddr>().is_ok(),
            Self::Path | Self::Text => !value.is_empty(),
            Self::Integer { min, max } => {
                let number = value.parse::<u64>();
                number.is_ok_and(|number| (*min..=*max).contains(&number))
            }
            Self::Choice(words) => words.contains(&value),
            Self::Peers => items(value).all(|item| parse_peer(item).is_some()),
            Self::Addresses => items(value).all(|item| item.parse::<SocketAddr>().is_ok()),
            Self::Machines => items(value).all(|item| parse_machine(item).is_some()),
        }
    }
}

/// Items of a list, separated by commas.
pub(crate) fn items(value: &str) -> impl Iterator<Item = &str> {
    value
        .split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
}

/// Reads `id=ip:port`.
pub(crate) fn parse_peer(item: &str) -> Option<(u64, SocketAddr)> {
    let (id, address) = item.split_once('=')?;
    Some((id.trim().parse().ok()?, address.trim().parse().ok()?))
}

/// Reads `runner=ip:port=zone`.
pub(crate) fn parse_machine(item: &str) -> Option<MachineAddress> {
    let (name, rest) = item.split_once('=')?;
    let (address, zone) = rest.split_once('=')?;
    Some(MachineAddress {
        name: name.trim().to_owned(),
        address: address.trim().parse().ok()?,
        zone: zone.trim().to_owned(),
    })
}
