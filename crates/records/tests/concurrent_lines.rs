//! Lines that many threads write at once.

use courseshunt_records::{Bounds, Output};
use std::sync::atomic::Ordering;

const THREADS: usize = 8;
/// All lines of a round fit into the queue beside its reserve.
const LINES: usize = 300;
const ROUNDS: usize = 60;

/// A line that was written before it was counted as waiting made the number of waiting lines
/// negative, which looked like a full queue to the next line.
#[test]
fn lines_within_the_bounds_are_written_whoever_writes_at_the_same_time() {
    let bounds = Bounds {
        bytes_per_second: u64::from(u32::MAX),
        ..Bounds::default()
    };
    for round in 0..ROUNDS {
        let output = Output::start(bounds, std::io::sink()).expect("a thread");
        std::thread::scope(|scope| {
            for _ in 0..THREADS {
                scope.spawn(|| {
                    for _ in 0..LINES {
                        output.take("a line\n".to_owned(), false);
                    }
                });
            }
        });
        let left_out = output.counts().left_out.load(Ordering::Relaxed);
        assert_eq!(left_out, 0, "round {round}");
    }
}
