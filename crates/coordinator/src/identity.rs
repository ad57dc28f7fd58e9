//! The identity of a member, which is bound to its disk.
//!
//! Invariant: a member votes only with the disk that holds its earlier votes. The identities of
//! the founders of a new group are derived from their addresses, so that all agree on the first
//! membership without a message; every later disk gets a new random identity.

use crate::error::{CoordinatorError, IdentitySnafu};
use courseshunt_settings::service::ServiceSettings;
use courseshunt_storage::small_file;
use courseshunt_types::ControllerId;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::Path;
use xxhash_rust::xxh3::xxh3_64;

/// File that holds the identity; the replica's store checks the same one.
const IDENTITY_FILE: &str = "identity";
/// File that holds the members and their addresses.
const MEMBERS_FILE: &str = "members";
/// File that holds the first voters, if this disk founded the group.
const FOUNDERS_FILE: &str = "founders";

/// The identity of this member, and the members that it knows.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) id: ControllerId,
    /// The first voters, if this disk founds the group.
    pub(crate) founders: Vec<ControllerId>,
    /// Members with their wire addresses.
    pub(crate) known: Vec<(ControllerId, SocketAddr)>,
}

/// The identity of a founder with this address.
fn founder_id(address: SocketAddr) -> ControllerId {
    ControllerId(xxh3_64(address.to_string().as_bytes()) | 1)
}

/// Reads the identity, or creates one for an empty disk.
///
/// # Errors
/// When the identity can't be read, or the founders can't be written.
pub(crate) fn load_or_create(settings: &ServiceSettings) -> Result<Identity, CoordinatorError> {
    let path = settings.data_folder.join(IDENTITY_FILE);
    let seeds = settings.seed_wire_addresses();
    let own = settings.wire_address();
    let founders: Vec<ControllerId> = seeds.iter().map(|seed| founder_id(*seed)).collect();
    let stored = match std::fs::read_to_string(&path) {
        Ok(text) => text.trim().parse().ok().map(ControllerId),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => None,
        Err(source) => {
            let step = "read identity";
            return Err(CoordinatorError::Identity { step, path, source });
        }
    };
    let is_founder = settings.found_group && seeds.contains(&own);
    let id = match stored {
        Some(id) => id,
        None if is_founder => founder_id(own),
        None => ControllerId(rand::random::<u64>() | 1),
    };
    if stored.is_none() && is_founder {
        let lines = founders.iter().map(|id| id.0.to_string());
        let lines: Vec<String> = lines.collect();
        write_lines(&settings.data_folder, FOUNDERS_FILE, &lines)?;
    }
    let founders = read_founders(&settings.data_folder);
    let mut known = Vec::new();
    if !founders.is_empty() {
        // Only on a founder's disk: for other processes, a process at a seed's address need not
        // be a founder.
        known.extend(seeds.iter().map(|seed| (founder_id(*seed), *seed)));
    }
    known.extend(read_members(&settings.data_folder));
    Ok(Identity {
        id,
        founders,
        known,
    })
}

/// The first voters, as stored when this disk was new.
fn read_founders(folder: &Path) -> Vec<ControllerId> {
    let text = std::fs::read_to_string(folder.join(FOUNDERS_FILE)).unwrap_or_default();
    let lines = text.lines().filter_map(|line| line.parse().ok());
    lines.map(ControllerId).collect()
}

fn read_members(folder: &Path) -> Vec<(ControllerId, SocketAddr)> {
    let text = std::fs::read_to_string(folder.join(MEMBERS_FILE)).unwrap_or_default();
    let lines = text.lines().filter_map(|line| {
        let (id, address) = line.split_once(' ')?;
        Some((ControllerId(id.parse().ok()?), address.parse().ok()?))
    });
    lines.collect()
}

/// Stores the members' addresses, so that the members find each other after a restart of the
/// whole group.
///
/// # Errors
/// When the file can't be written.
pub(crate) fn write_members(
    folder: &Path,
    members: &[(ControllerId, SocketAddr)],
) -> Result<(), CoordinatorError> {
    let lines = members.iter();
    let lines: Vec<String> = lines.map(|(id, at)| format!("{} {at}", id.0)).collect();
    write_lines(folder, MEMBERS_FILE, &lines)
}

/// Replaces a small file durably with these lines.
fn write_lines(folder: &Path, name: &str, lines: &[String]) -> Result<(), CoordinatorError> {
    let path = folder.join(name);
    let content = lines.join("\n");
    small_file::replace(folder, name, content.as_bytes()).context(IdentitySnafu {
        step: "write",
        path: &path,
    })
}
