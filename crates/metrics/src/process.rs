//! Processor time and memory of this process, as the kernel tells them.

use std::fs;

/// Length of one tick in `/proc/self/stat`, in milliseconds.
const TICK_MILLISECONDS: u64 = 10;
/// Length of one page in `/proc/self/statm`, in bytes.
const PAGE_BYTES: u64 = 4096;
/// Place of the user ticks after the command's name in `/proc/self/stat`.
const USER_TICKS: usize = 11;
/// Place of the system ticks there.
const SYSTEM_TICKS: usize = 12;

/// What a process has used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ProcessUsage {
    /// Processor time, in milliseconds.
    pub cpu_milliseconds: u64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

/// Usage of this process; zero where the system does not tell.
#[must_use]
pub fn process_usage() -> ProcessUsage {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    ProcessUsage::parse(&stat, &statm)
}

impl ProcessUsage {
    /// Reads the content of a process's `stat` and `statm` files.
    #[must_use]
    pub fn parse(stat: &str, statm: &str) -> Self {
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |place: usize| number(fields.get(place).copied());
        let pages = number(statm.split_whitespace().nth(1));
        Self {
            cpu_milliseconds: (ticks(USER_TICKS) + ticks(SYSTEM_TICKS)) * TICK_MILLISECONDS,
            resident_bytes: pages * PAGE_BYTES,
        }
    }
}

fn number(field: Option<&str>) -> u64 {
    field.and_then(|text| text.parse().ok()).unwrap_or_default()
}
