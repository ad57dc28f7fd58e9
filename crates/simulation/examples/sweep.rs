//! Runs many seeds and prints what they showed:
//! `cargo run --release -p courseshunt-simulation --example sweep -- 10000 4`
//! (seeds, threads; further words: `sleeps`, machines are suspended now and then; `take-overs`, members
//! take over the leadership now and then). Ends with an error when a promise did not hold.

use courseshunt_simulation::measure::{LeaderLoss, time_without_leader};
use courseshunt_simulation::{Options, Report, run};

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut number = |default| {
        let given = arguments.next().and_then(|text| text.parse().ok());
        given.unwrap_or(default)
    };
    let (seeds, threads): (u64, u64) = (number(10_000), number(4));
    let has_word = |word: &str| std::env::args().skip(3).any(|one| one == word);
    let (sleeps, take_overs) = (has_word("sleeps"), has_word("take-overs"));
    let reports = in_parallel(seeds, threads, move |seed| {
        run(Options {
            sleeps,
            take_overs,
            ..Options::of_seed(seed)
        })
    });
    print_runs(&reports);
    for loss in [LeaderLoss::Crash, LeaderLoss::SilentCut] {
        let times = in_parallel(seeds.min(1000), threads, move |seed| {
            time_without_leader(seed, loss)
        });
        print_times(loss, &times);
    }
    let broken = reports.iter().any(|report| report.violation.is_some());
    std::process::exit(i32::from(broken));
}

fn in_parallel<T: Send + 'static>(
    seeds: u64,
    threads: u64,
    work: impl Fn(u64) -> T + Copy + Send + 'static,
) -> Vec<T> {
    let workers: Vec<_> = (0..threads)
        .map(|worker| {
            let own = (0..seeds).filter(move |seed| seed % threads == worker);
            std::thread::spawn(move || own.map(work).collect::<Vec<_>>())
        })
        .collect();
    let finished = workers.into_iter().filter_map(|worker| worker.join().ok());
    finished.flatten().collect()
}

fn print_runs(reports: &[Report]) {
    let sum = |count: fn(&Report) -> usize| reports.iter().map(count).sum::<usize>();
    println!(
        "{} seeds: {} changes acknowledged, {} elections, {} faults, {} membership changes",
        reports.len(),
        sum(|one| one.acknowledged),
        sum(|one| one.elections),
        sum(|one| one.faults),
        sum(|one| one.membership_changes),
    );
    let broken: Vec<&Report> = reports
        .iter()
        .filter(|report| report.violation.is_some())
        .collect();
    println!("{} violations", broken.len());
    for report in broken.iter().take(10) {
        println!("  seed {}: {:?}", report.seed, report.violation);
    }
}

fn print_times(loss: LeaderLoss, times: &[Option<u64>]) {
    let mut known: Vec<u64> = times.iter().flatten().copied().collect();
    known.sort_unstable();
    let at = |part: usize| known.get(known.len() * part / 1000).copied();
    println!(
        "without a leader after {loss:?}: {} runs, ms: p50 {:?} p95 {:?} p99 {:?} longest {:?}",
        known.len(),
        at(500),
        at(950),
        at(990),
        known.last(),
    );
}
