//! Processor time by role: each role runs on threads of its own name.

use std::fs;

/// Processor time of all live threads whose name starts with `prefix`, in
/// microseconds; 0 where the system does not tell.
#[must_use]
pub fn cpu_microseconds(prefix: &str) -> f64 {
    let Ok(threads) = fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let folders = threads.filter_map(|entry| Some(entry.ok()?.path()));
    let named = folders.filter(|folder| {
        let name = fs::read_to_string(folder.join("comm")).unwrap_or_default();
        name.starts_with(prefix)
    });
    let nanoseconds = named.map(|folder| {
        let statistics = fs::read_to_string(folder.join("schedstat")).unwrap_or_default();
        nanoseconds_on_cpu(&statistics)
    });
    nanoseconds.sum::<u64>() as f64 / 1000.0
}

/// First field of a thread's `schedstat`: nanoseconds on a processor.
#[must_use]
pub fn nanoseconds_on_cpu(statistics: &str) -> u64 {
    let first = statistics.split_whitespace().next();
    first.and_then(|text| text.parse().ok()).unwrap_or_default()
}
