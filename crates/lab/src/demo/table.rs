//! The demo's table.

use super::caller::CallerAnswer;

/// One line of the table.
#[derive(Debug, Clone)]
pub struct Row {
    what: String,
    router: String,
    first_byte_ms: u128,
    total_ms: u128,
}

impl Row {
    /// A line for one answer.
    pub fn new(what: &str, router: &str, answer: &CallerAnswer) -> Self {
        Self {
            what: what.to_owned(),
            router: router.to_owned(),
            first_byte_ms: answer.first_byte.as_millis(),
            total_ms: answer.total.as_millis(),
        }
    }
}

/// Prints all lines.
pub fn print_table(rows: &[Row]) {
    println!(
        "{:<28}{:<12}{:>16}{:>12}",
        "request", "router", "first byte ms", "total ms"
    );
    for row in rows {
        println!(
            "{:<28}{:<12}{:>16}{:>12}",
            row.what, row.router, row.first_byte_ms, row.total_ms
        );
    }
}
