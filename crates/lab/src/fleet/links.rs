//! The state of the links between nodes, as the fault schedule sets it.

use super::address::NodeId;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// One direction of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkKey {
    /// Who sends.
    pub from: NodeId,
    /// Who receives.
    pub to: NodeId,
}

/// What a link does to bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LinkState {
    /// Nothing passes, without any error. What was sent arrives when the cut
    /// ends, as TCP would send it again.
    pub cut: bool,
    /// Extra time that each byte takes.
    pub delay: Duration,
    /// Bytes per second at the most; `None` means no limit.
    pub bytes_per_second: Option<u64>,
}

/// The links that differ from a perfect one.
#[derive(Debug)]
pub struct Links {
    states: Mutex<BTreeMap<LinkKey, LinkState>>,
    changes: watch::Sender<u64>,
}

impl Default for Links {
    fn default() -> Self {
        let states = Mutex::default();
        let (changes, _) = watch::channel(0);
        Self { states, changes }
    }
}

impl Links {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<LinkKey, LinkState>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The state of a link.
    #[must_use]
    pub fn get(&self, key: LinkKey) -> LinkState {
        self.lock().get(&key).copied().unwrap_or_default()
    }

    /// Changes some links.
    pub fn change(&self, keys: &[LinkKey], change: impl Fn(&mut LinkState)) {
        let mut states = self.lock();
        for key in keys {
            change(states.entry(*key).or_default());
        }
        drop(states);
        self.changes.send_modify(|number| *number += 1);
    }

    /// Told at each change.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
