//! Measures a decision of the leader on a request over its tenant's quota, with a full table of
//! reservations.
//!
//! Run with `cargo run --release -p courseshunt-services --example reservation_decision`.

use courseshunt_services::{
    Quota, QuotaLedger, QuotaQuery, QuotaSettings, QuotaUnit, QuotaVerdict, ReservationTerms,
    Tenant, TenantUse, UseReport,
};
use courseshunt_types::{Millis, Timestamp};
use std::time::{Duration, Instant};

const DECISIONS: u64 = 20_000;
/// Limit on one decision.
const LIMIT: Duration = Duration::from_micros(50);

fn query(key: u64) -> QuotaQuery {
    QuotaQuery {
        number: key,
        tenant: "t".to_owned(),
        units: 1_000,
        rank: 0,
        reservation: Some(ReservationTerms {
            key,
            objective: Millis(25_000),
            latest_return: Millis(29_000),
        }),
    }
}

/// A ledger whose account has a use in each slot of its window, as many reservations as it may
/// have, and no units left.
fn full_ledger(rate: f64, now: Timestamp) -> (QuotaLedger, u64) {
    let quota = Quota {
        rate_per_second: rate,
        burst: rate,
        unit: QuotaUnit::Tokens { default_units: 1 },
    };
    let tenant = Tenant {
        name: "t".to_owned(),
        keys: Vec::new(),
        priority: None,
        quota: Some(quota),
    };
    let mut ledger = QuotaLedger::new(1, QuotaSettings::default());
    ledger.configure(&[tenant], now);
    let uses = (0..80).map(|slot| TenantUse {
        tenant: "t".to_owned(),
        units: (rate / 10.0) as i64,
        age: Millis(slot * 100),
    });
    let report = UseReport {
        epoch: 1,
        process: 1,
        uses: uses.collect(),
        totals: Vec::new(),
    };
    ledger.report("r", &report, now);
    let mut key = 0;
    while let QuotaVerdict::Granted | QuotaVerdict::Reserved { .. } =
        ledger.decide("r", &query(key), now)
    {
        key += 1;
    }
    (ledger, key)
}

fn measure(name: &str, rate: f64) {
    let now = Timestamp(60_000);
    let (mut ledger, reservations) = full_ledger(rate, now);
    ledger.take_reservation_events();
    let mut times = Vec::new();
    for number in 0..DECISIONS {
        let asked = query(1_000_000 + number);
        let started = Instant::now();
        std::hint::black_box(ledger.decide("r", &asked, now));
        times.push(started.elapsed());
    }
    times.sort_unstable();
    let part = |percent: usize| times[(times.len() - 1) * percent / 100];
    println!(
        "{name}: {reservations} reservations or grants; decision: median {:?}, 99th percentile \
         {:?}, longest {:?}",
        part(50),
        part(99),
        part(100)
    );
    assert!(part(99) < LIMIT, "a decision takes too long");
}

fn main() {
    measure("number of reservations exhausted", 10_000_000.0);
    measure("units exhausted", 300_000.0);
}
