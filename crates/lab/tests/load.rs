//! Contract of the load tool: planned times, checks of answers, summary.

use courseshunt_lab::load::{
    ArrivalPlan, EchoCheck, LoadSummary, RequestRecord, RequestResult, arrival_times,
    expected_text, html,
};
use courseshunt_lab::load::{PlannedRequest, RequestForm};
use courseshunt_types::PriorityClass;
use rand::SeedableRng;
use std::time::Duration;

fn seeded() -> rand_pcg::Pcg64Mcg {
    rand_pcg::Pcg64Mcg::seed_from_u64(7)
}

#[test]
fn arrivals_keep_the_rate_and_depend_on_the_seed_alone() {
    for burst_size in [1.0, 8.0] {
        let plan = ArrivalPlan {
            rate_per_second: 100.0,
            length: Duration::from_secs(100),
            burst_size,
        };
        let times = arrival_times(&plan, &mut seeded());
        assert!((8_000..12_000).contains(&times.len()), "{}", times.len());
        assert!(times.is_sorted());
        assert_eq!(times, arrival_times(&plan, &mut seeded()));
    }
}

#[test]
fn an_answer_must_be_whole_and_its_own() {
    let own = expected_text("a", 3);
    let cases = [
        (own.clone(), Ok(())),
        (own[..12].to_owned(), Err("not whole")),
        (String::new(), Err("not whole")),
        (expected_text("b", 3), Err("not its own")),
        (format!("{own}{own}"), Err("not its own")),
    ];
    for (text, expected) in cases {
        let checked = EchoCheck::Standin.check("a", 3, &text);
        match expected {
            Ok(()) => assert_eq!(checked, Ok(())),
            Err(problem) => assert!(checked.unwrap_err().contains(problem), "{text}"),
        }
    }
}

fn record(number: usize, at_ms: u64, ended_ms: u64, result: RequestResult) -> RequestRecord {
    let request = PlannedRequest {
        number,
        at: Duration::from_millis(at_ms),
        model: "m".to_owned(),
        class: PriorityClass::Critical,
        form: RequestForm::Whole,
        key: String::new(),
        prompt: String::new(),
        max_tokens: 1,
        deadline: Duration::from_secs(1),
    };
    RequestRecord {
        ended_at: Duration::from_millis(ended_ms),
        result,
        ..RequestRecord::not_sent(request)
    }
}

#[test]
fn a_stall_is_charged_to_every_request_that_it_held_up() {
    // Ten requests planned 100 ms apart all end together after a stall.
    let records: Vec<RequestRecord> = (0..10)
        .map(|number| {
            let at = number as u64 * 100;
            record(number, at, 1000, RequestResult::Answered)
        })
        .collect();
    let summary = LoadSummary::of(&records);
    let total = summary.total["critical"];
    assert_eq!((total.count, total.p50_ms, total.max_ms), (10, 500, 1000));
    let slow = LoadSummary::of(&[record(0, 0, 40_000, RequestResult::Answered)]);
    assert!(slow.total["critical"].max_ms >= 40_000);
    let page = html("a <load>", &records, &summary);
    assert!(page.contains("<svg") && page.contains("a &lt;load&gt;"));
}

#[test]
fn the_summary_counts_each_kind_and_the_longest_gap() {
    let records = [
        record(0, 0, 100, RequestResult::Answered),
        record(1, 10, 700, RequestResult::Silent),
        record(2, 20, 900, RequestResult::Answered),
    ];
    let summary = LoadSummary::of(&records);
    assert_eq!(
        (summary.count_of("answered"), summary.count_of("silent")),
        (2, 1)
    );
    assert_eq!(summary.longest_gap_ms, 800);
}
