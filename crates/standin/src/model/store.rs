//! The weight store: transfers that share a limited bandwidth, and a limited
//! rate of starts.

use courseshunt_types::{Millis, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Settings of the model.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreModelSettings {
    /// Transfers that may start in a second.
    pub starts_per_second: f64,
    /// Transfers that run together at full speed; more share that bandwidth.
    pub full_speed_transfers: u32,
    /// Speed of one transfer, in MiB per second.
    pub transfer_mib_per_second: f64,
}

impl Default for StoreModelSettings {
    fn default() -> Self {
        Self {
            starts_per_second: 3.0,
            full_speed_transfers: 6,
            transfer_mib_per_second: 1024.0,
        }
    }
}

/// Number of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferId(pub u64);

/// The model.
#[derive(Debug)]
pub struct StoreModel {
    settings: StoreModelSettings,
    /// Factor on the bandwidth; below 1 in a slow phase.
    speed: f64,
    remaining_mib: BTreeMap<TransferId, f64>,
    queued: VecDeque<(TransferId, f64)>,
    next_start: Timestamp,
    last_transfer: u64,
    advanced_to: Timestamp,
}

/// Rest of a transfer that counts as finished, in MiB.
const FINISHED_MIB: f64 = 1e-6;

impl StoreModel {
    /// An idle store.
    #[must_use]
    pub fn new(settings: StoreModelSettings) -> Self {
        Self {
            settings,
            speed: 1.0,
            remaining_mib: BTreeMap::new(),
            queued: VecDeque::new(),
            next_start: Timestamp(0),
            last_transfer: 0,
            advanced_to: Timestamp(0),
        }
    }

    /// Begins or ends a slow phase: 1 is full speed, 0.1 a tenth of it.
    pub fn set_speed(&mut self, speed: f64, now: Timestamp) -> Vec<TransferId> {
        let finished = self.advance(now);
        self.speed = speed;
        finished
    }

    /// Asks for a transfer of `size_mib`.
    pub fn request(&mut self, size_mib: u64, now: Timestamp) -> TransferId {
        self.last_transfer += 1;
        let transfer = TransferId(self.last_transfer);
        self.queued.push_back((transfer, size_mib.max(1) as f64));
        self.start_queued(now);
        transfer
    }

    /// Gives a transfer up, because its runner is gone.
    pub fn cancel(&mut self, transfer: TransferId) {
        self.remaining_mib.remove(&transfer);
        self.queued.retain(|(one, _)| *one != transfer);
    }

    /// Moves on to `now` and returns the transfers that finished.
    pub fn advance(&mut self, now: Timestamp) -> Vec<TransferId> {
        let seconds = now.since(self.advanced_to).as_secs_f64();
        let moved = self.mib_per_second() * seconds;
        self.advanced_to = now.max(self.advanced_to);
        for remaining in self.remaining_mib.values_mut() {
            *remaining -= moved;
        }
        let finished: Vec<TransferId> = self
            .remaining_mib
            .iter()
            .filter(|(_, remaining)| **remaining <= FINISHED_MIB)
            .map(|(transfer, _)| *transfer)
            .collect();
        for transfer in &finished {
            self.remaining_mib.remove(transfer);
        }
        self.start_queued(now);
        finished
    }

    /// When to call [`Self::advance`] next.
    #[must_use]
    pub fn next_event(&self) -> Option<Timestamp> {
        let speed = self.mib_per_second();
        let shortest = self.remaining_mib.values().copied().reduce(f64::min);
        let finish = shortest.filter(|_| speed > 0.0).map(|remaining| {
            let millis = (remaining / speed * 1000.0).ceil().max(1.0);
            self.advanced_to + Millis(millis as u64)
        });
        let start = (!self.queued.is_empty()).then_some(self.next_start);
        [finish, start].into_iter().flatten().min()
    }

    /// Speed of each running transfer.
    fn mib_per_second(&self) -> f64 {
        let running = self.remaining_mib.len().max(1) as f64;
        let full = f64::from(self.settings.full_speed_transfers);
        let share = (full / running).min(1.0);
        self.settings.transfer_mib_per_second * share * self.speed
    }

    fn start_queued(&mut self, now: Timestamp) {
        let pause = Millis((1000.0 / self.settings.starts_per_second).ceil() as u64);
        while now >= self.next_start {
            let Some((transfer, size)) = self.queued.pop_front() else {
                break;
            };
            self.remaining_mib.insert(transfer, size);
            self.next_start = now + pause;
        }
    }
}
