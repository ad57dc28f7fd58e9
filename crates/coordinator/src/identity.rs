//! The identity of a member, bound to its disk.
//!
//! Invariant: a member votes only with the disk that holds its earlier votes.
//! Founders of a new group have identities that follow from their addresses, so
//! that all agree on the first membership without a message; every later disk
//! draws a new one.

use crate::error::{CoordinatorError, IdentitySnafu};
use courseshunt_settings::service::ServiceSettings;
use courseshunt_storage::small_file;
use courseshunt_types::ControllerId;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::Path;
use xxhash_rust::xxh3::xxh3_64;

/// File that holds the identity; the replica's store checks the same one.
const FILE: &str = "identity";
/// File that holds the members' addresses.
const MEMBERS: &str = "members";
/// File that holds the first voters of the group that this disk founded.
const FOUNDERS: &str = "founders";

/// Who this member is and whom it knows.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) id: ControllerId,
    /// The first voters, if this disk founds the group.
    pub(crate) founders: Vec<ControllerId>,
    /// Members with their wire addresses.
    pub(crate) known: Vec<(ControllerId, SocketAddr)>,
}

/// The identity that a founder at this address has.
fn founder(address: SocketAddr) -> ControllerId {
    ControllerId(xxh3_64(address.to_string().as_bytes()) | 1)
}

/// Reads the identity, or draws one for an empty disk.
///
/// # Errors
/// When the folder can't be read.
pub(crate) fn load_or_draw(settings: &ServiceSettings) -> Result<Identity, CoordinatorError> {
    let path = settings.data_folder.join(FILE);
    let seeds = settings.seed_wire_addresses();
    let own = settings.wire_address();
    let founders: Vec<ControllerId> = seeds.iter().map(|seed| founder(*seed)).collect();
    let stored = match std::fs::read_to_string(&path) {
        Ok(text) => text.trim().parse().ok().map(ControllerId),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => None,
        Err(source) => {
            let step = "read identity";
            return Err(CoordinatorError::Identity { step, path, source });
        }
    };
    let founds = settings.found_group && seeds.contains(&own);
    let id = match stored {
        Some(id) => id,
        None if founds => founder(own),
        None => ControllerId(rand::random::<u64>() | 1),
    };
    if stored.is_none() && founds {
        let lines = founders.iter().map(|id| id.0.to_string());
        let lines: Vec<String> = lines.collect();
        write_lines(&settings.data_folder, FOUNDERS, &lines)?;
    }
    let founders = read_founders(&settings.data_folder);
    let mut known = Vec::new();
    if !founders.is_empty() {
        // Elsewhere another process may live at a seed's address than a founder.
        known.extend(seeds.iter().map(|seed| (founder(*seed), *seed)));
    }
    known.extend(read_members(&settings.data_folder));
    Ok(Identity {
        id,
        founders,
        known,
    })
}

/// The first voters, as they were when this disk was new.
fn read_founders(folder: &Path) -> Vec<ControllerId> {
    let text = std::fs::read_to_string(folder.join(FOUNDERS)).unwrap_or_default();
    let lines = text.lines().filter_map(|line| line.parse().ok());
    lines.map(ControllerId).collect()
}

fn read_members(folder: &Path) -> Vec<(ControllerId, SocketAddr)> {
    let text = std::fs::read_to_string(folder.join(MEMBERS)).unwrap_or_default();
    let lines = text.lines().filter_map(|line| {
        let (id, address) = line.split_once(' ')?;
        Some((ControllerId(id.parse().ok()?), address.parse().ok()?))
    });
    lines.collect()
}

/// Stores the members' addresses, so that a group that starts again as a whole
/// finds itself.
///
/// # Errors
/// When the file can't be written.
pub(crate) fn write_members(
    folder: &Path,
    members: &[(ControllerId, SocketAddr)],
) -> Result<(), CoordinatorError> {
    let lines = members.iter();
    let lines: Vec<String> = lines.map(|(id, at)| format!("{} {at}", id.0)).collect();
    write_lines(folder, MEMBERS, &lines)
}

/// Replaces a small file durably.
fn write_lines(folder: &Path, name: &str, lines: &[String]) -> Result<(), CoordinatorError> {
    let path = folder.join(name);
    let content = lines.join("\n");
    small_file::replace(folder, name, content.as_bytes()).context(IdentitySnafu {
        step: "write",
        path: &path,
    })
}
