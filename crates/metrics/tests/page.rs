//! Contract of metrics pages: the Prometheus text format, one family a metric.

use courseshunt_metrics::{MetricsPage, ProcessUsage, Sample};

#[test]
fn a_page_names_each_metric_with_its_help() {
    let mut page = MetricsPage::default();
    page.gauge("revision", "Revision in force.", 7.0);
    page.counter("requests", "Requests.", 3);
    page.gauges(
        "waiting",
        "Waiting requests.",
        [Sample::labelled("class", "critical", 2.0)],
    );
    let text = page.text();
    for expected in [
        "# HELP courseshunt_revision Revision in force.",
        "courseshunt_revision 7",
        "courseshunt_requests_total 3",
        "courseshunt_waiting{class=\"critical\"} 2",
        "# EOF",
    ] {
        assert!(text.contains(expected), "{expected} is missing in\n{text}");
    }
}

#[test]
fn usage_is_read_also_when_the_name_holds_blanks_and_brackets() {
    let stat = "7 (a b) c) S 1 1 1 0 -1 0 0 0 0 0 12 3 0 0 20 0 9 0 0 0 0";
    let usage = ProcessUsage::parse(stat, "900 25 3");
    assert_eq!(usage.cpu_milliseconds, 150);
    assert_eq!(usage.resident_bytes, 25 * 4096);
}
