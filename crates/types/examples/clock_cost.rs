//! Measures the cost of one reading of [`MonotonicClock`], in nanoseconds, and compares it with the
//! monotonic clock of the standard library, which stops while the machine is suspended:
//! `cargo run --release -p courseshunt-types --example clock_cost`.

use courseshunt_types::time::MonotonicClock;
use std::hint::black_box;
use std::time::Instant;

/// Number of readings in one run.
const READINGS: u32 = 5_000_000;

fn main() {
    let clock = MonotonicClock::start();
    let suspend_aware = cost(|| {
        black_box(clock.now());
    });
    let standard = cost(|| {
        black_box(Instant::now());
    });
    println!(
        "one reading, ns: suspend-aware clock {suspend_aware:.1}, standard library {standard:.1}"
    );
}

fn cost(read: impl Fn()) -> f64 {
    let start = Instant::now();
    for _ in 0..READINGS {
        read();
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(READINGS)
}
