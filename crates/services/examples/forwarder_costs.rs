//! Cost of naming forwarders at the leader, and the size of the messages, by number of routers.
//!
//! Prints for each size the median time of an answer in microseconds, and the bytes of a report
//! and of an answer before framing.

use courseshunt_services::{FeedMessage, ForwarderDirectory, ForwardingReport, ReportMessage};
use courseshunt_types::Zone;
use std::time::Instant;

const SIZES: [u32; 3] = [8, 340, 985];
const ANSWERS: u64 = 2_001;
const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];

fn report(number: u32) -> ForwardingReport {
    ForwardingReport {
        address: format!("10.{}.{}.{}:7380", number % 4, number / 250, number % 250),
        zone: Zone::from(ZONES[number as usize % ZONES.len()]),
        available: true,
        lost_paths: 0,
    }
}

fn directory(routers: u32) -> ForwarderDirectory {
    let mut directory = ForwarderDirectory::default();
    for number in 0..routers {
        directory.record(&format!("front-zone-{number}"), report(number));
    }
    directory
}

fn median_micros(directory: &ForwarderDirectory) -> f64 {
    let zone = Zone::from(ZONES[0]);
    let mut times: Vec<f64> = Vec::new();
    for seed in 0..ANSWERS {
        let begun = Instant::now();
        let named = directory.candidates("front-zone-0", &zone, seed);
        times.push(begun.elapsed().as_secs_f64() * 1e6);
        assert!(!named.is_empty());
    }
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

fn bytes<T>(message: &T) -> usize
where
    T: for<'a> rkyv::Serialize<
            rkyv::api::high::HighSerializer<
                rkyv::util::AlignedVec,
                rkyv::ser::allocator::ArenaHandle<'a>,
                rkyv::rancor::Error,
            >,
        >,
{
    rkyv::to_bytes::<rkyv::rancor::Error>(message).map_or(0, |bytes| bytes.len())
}

fn main() {
    for routers in SIZES {
        let directory = directory(routers);
        let zone = Zone::from(ZONES[0]);
        let answer = FeedMessage::Forwarders(directory.candidates("front-zone-0", &zone, 1));
        let asked = ReportMessage::Forwarding(report(1));
        println!(
            "{routers} routers: {:.1} us an answer, {} bytes a report, {} bytes an answer",
            median_micros(&directory),
            bytes(&asked),
            bytes(&answer),
        );
    }
}
