//! What a reading of the clock costs, in nanoseconds, against the standard library's steady
//! clock, which leaves out time asleep:
//! `cargo run --release -p courseshunt-types --example clock_cost`.

use courseshunt_types::time::MonotonicClock;
use std::hint::black_box;
use std::time::Instant;

/// Readings of one run.
const READINGS: u32 = 5_000_000;

fn main() {
    let clock = MonotonicClock::start();
    let counting = cost(|| {
        black_box(clock.now());
    });
    let steady = cost(|| {
        black_box(Instant::now());
    });
    println!("one reading, ns: counting sleep {counting:.1}, steady clock {steady:.1}");
}

fn cost(reading: impl Fn()) -> f64 {
    let began = Instant::now();
    for _ in 0..READINGS {
        reading();
    }
    began.elapsed().as_secs_f64() * 1e9 / f64::from(READINGS)
}
