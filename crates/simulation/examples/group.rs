//! Runs many seeds of a group that repairs itself and prints what they showed, by the way
//! in which processes reach the leader:
//! `cargo run --release -p courseshunt-simulation --example group -- 10000 4 [WAY]`
//! (seeds, threads; WAY: `follow`, `seeds`, `pass` or `all`). Ends with an error when a
//! promise did not hold by the way that ships.

use courseshunt_simulation::{GroupOptions, GroupReport, Way, run_group};

/// Violations that are printed.
const SHOWN: usize = 8;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |at: usize, default| {
        let given = arguments.get(at).and_then(|text| text.parse().ok());
        given.unwrap_or(default)
    };
    let (seeds, threads): (u64, u64) = (number(0, 10_000), number(1, 4));
    let way = arguments.get(2).map_or("follow", String::as_str);
    let ways = [
        ("follow", Way::FollowAnswers, true),
        ("follow, strangers left alone", Way::FollowAnswers, false),
        ("pass", Way::PassOn, true),
        ("seeds", Way::SeedsAlone, true),
        ("seeds, strangers left alone", Way::SeedsAlone, false),
    ];
    let mut broken = false;
    for (name, one, takes_strangers) in ways {
        if way != "all" && way != name {
            continue;
        }
        let reports = run_all(seeds, threads, one, takes_strangers);
        print(name, &reports);
        let shipped = one == Way::FollowAnswers && takes_strangers;
        broken |= shipped && reports.iter().any(|report| report.violation.is_some());
    }
    std::process::exit(i32::from(broken));
}

fn run_all(seeds: u64, threads: u64, way: Way, takes_strangers: bool) -> Vec<GroupReport> {
    let workers: Vec<_> = (0..threads)
        .map(|worker| {
            let own = (0..seeds).filter(move |seed| seed % threads == worker);
            let options = move |seed| GroupOptions {
                way,
                takes_strangers,
                ..GroupOptions::of_seed(seed)
            };
            std::thread::spawn(move || own.map(|seed| run_group(options(seed))).collect::<Vec<_>>())
        })
        .collect();
    let finished = workers.into_iter().filter_map(|worker| worker.join().ok());
    finished.flatten().collect()
}

fn print(name: &str, reports: &[GroupReport]) {
    let sum = |count: fn(&GroupReport) -> usize| reports.iter().map(count).sum::<usize>();
    let broken: Vec<&GroupReport> = reports
        .iter()
        .filter(|report| report.violation.is_some())
        .collect();
    let joins = reports.iter().flat_map(|report| &report.join_times);
    let led = reports.iter().filter_map(|report| report.led_again_after);
    println!(
        "{name}: {} seeds, {} broken, {} changes acknowledged, {} disks lost, {} questions",
        reports.len(),
        broken.len(),
        sum(|one| one.acknowledged),
        sum(|one| one.disks_lost),
        sum(|one| one.questions),
    );
    println!("  a member after, ms: {}", parts(joins.copied().collect()));
    println!("  led after all are back, ms: {}", parts(led.collect()));
    for report in broken.iter().take(SHOWN) {
        println!("  seed {}: {:?}", report.seed, report.violation);
    }
}

fn parts(mut times: Vec<u64>) -> String {
    times.sort_unstable();
    let at = |part: usize| times.get(times.len() * part / 1000).copied();
    let longest = times.last();
    format!(
        "{} times, p50 {:?} p95 {:?} p99 {:?} longest {longest:?}",
        times.len(),
        at(500),
        at(950),
        at(990)
    )
}
