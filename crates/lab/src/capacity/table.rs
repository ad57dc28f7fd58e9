//! The measured part of the capacity page, in Markdown.

use super::SizeReport;
use super::requests::RequestReport;
use super::roles::{RoleFigures, design, request_cpu, router_memory};
use super::slopes::{DESIGN, Slope, Slopes};
use crate::error::LabError;
use std::fmt::Write;
use std::path::Path;

/// Budget of a node for control: share of a core, in percent.
pub const CPU_BUDGET_PERCENT: f64 = 3.0;
/// Budget of a node for control: memory, in MiB.
pub const MEMORY_BUDGET_MIB: f64 = 32.0;
/// Budget of a node for control: bytes a second.
pub const BYTES_BUDGET: f64 = 24_000.0;
/// Budget for a change to be in force everywhere, in milliseconds.
pub const IN_FORCE_BUDGET_MS: f64 = 16_000.0;

const BEGIN: &str = "<!-- measured: begin -->";
const END: &str = "<!-- measured: end -->";

/// The tables.
#[must_use]
pub fn render(reports: &[SizeReport], requests: Option<&RequestReport>) -> String {
    let mut text = sizes(reports);
    if let Some(requests) = requests {
        text.push_str(&request_table(requests));
    }
    let Some(slopes) = Slopes::of(reports) else {
        text.push_str("\nThe sizes are too few for slopes.\n");
        return text;
    };
    text.push_str(&slope_table(&slopes));
    text.push_str(&roles(&design(&slopes, requests)));
    text
}

fn sizes(reports: &[SizeReport]) -> String {
    let mut text = "### Measured sizes\n\n| controllers | routers | runners | leader at rest, ms/s | routers at rest, ms/s | one change: leader ms, in force ms | one load: leader ms, feed KB | sync of all routers: s, MB | process, MiB |\n|---|---|---|---|---|---|---|---|---|\n".to_owned();
    for one in reports {
        let changes = one.change_count as f64;
        let loads = one.load_count as f64;
        // Writing into a string does not fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} | {:.1} | {:.1} | {:.2}, {:.0} | {:.1}, {:.0} | {:.2}, {:.1} | {:.0} |",
            one.size.controllers,
            one.size.routers,
            one.size.runners,
            one.idle.leader_cpu_ms / one.idle.seconds,
            one.idle.router_cpu_ms / one.idle.seconds,
            one.changes.leader_cpu_ms / changes,
            one.in_force_ms,
            one.loads.leader_cpu_ms / loads,
            one.loads.feed.bytes / loads / 1000.0,
            one.sync.seconds,
            one.sync.feed.bytes / 1e6,
            one.loads.resident_mib,
        );
    }
    let slowest = reports
        .iter()
        .map(|one| one.in_force_ms)
        .fold(0.0, f64::max);
    let margin = IN_FORCE_BUDGET_MS / slowest.max(1.0);
    let _ = writeln!(
        text,
        "\nSlowest change in force everywhere: {slowest:.0} ms of 16,000 ms ({margin:.0} times to spare)."
    );
    text
}

fn slope_table(slopes: &Slopes) -> String {
    let mut text = "\n### Slopes (± standard error)\n\n| quantity | slopes | with 8 controllers, 340 routers, 830 runners |\n|---|---|---|\n".to_owned();
    for slope in slopes.all() {
        let value = slope.at(DESIGN);
        let _ = writeln!(
            text,
            "| {}, {} | {} | {} |",
            slope.quantity,
            slope.unit,
            coefficients(slope),
            number(value)
        );
    }
    text
}

fn coefficients(slope: &Slope) -> String {
    let parts = slope.against.names().iter().zip(&slope.fit.coefficients);
    let parts = parts
        .map(|(name, one)| format!("{} ± {} for {name}", number(one.value), number(one.error)));
    parts.collect::<Vec<_>>().join("; ")
}

fn request_table(requests: &RequestReport) -> String {
    let mut text = format!(
        "\n### Requests through {} real routers\n\n| requests/s | sent, answered | routers, ms/s | tickets and grants: messages/s, KB/s |\n|---|---|---|---|\n",
        requests.routers
    );
    for one in &requests.rates {
        let _ = writeln!(
            text,
            "| {:.0} | {}, {} | {:.1} | {:.0}, {:.1} |",
            one.requests_per_second,
            one.sent,
            one.answered,
            one.cpu_ms_per_second,
            one.tickets.messages,
            one.tickets.bytes / 1000.0
        );
    }
    if let Some(cpu) = request_cpu(requests) {
        let _ = writeln!(
            text,
            "\nProcessor time of a request: {:.3} ± {:.3} ms.",
            cpu.value, cpu.error
        );
    }
    if let Some(memory) = router_memory(requests) {
        let _ = writeln!(
            text,
            "Memory of a further real router: {:.2} ± {:.2} MiB.",
            memory.value, memory.error
        );
    }
    text
}

fn roles(figures: &[RoleFigures]) -> String {
    let mut text = "\n### Roles at the design size, worked out from the slopes\n\n| role | processor, % of a core (budget 3) | KB/s (budget 24) | memory, MiB (budget 32) | arithmetic |\n|---|---|---|---|---|\n".to_owned();
    for one in figures {
        let memory = one.memory_mib.map_or("not told apart".to_owned(), |mib| {
            against(mib, MEMORY_BUDGET_MIB)
        });
        let _ = writeln!(
            text,
            "| {} | {} | {} | {memory} | {} |",
            one.role,
            against(one.cpu_percent, CPU_BUDGET_PERCENT),
            against(one.bytes_per_second / 1000.0, BYTES_BUDGET / 1000.0),
            one.arithmetic
        );
    }
    text
}

/// A value with its share of a budget; over the budget it is marked.
fn against(value: f64, budget: f64) -> String {
    match value <= budget {
        true => format!("{value:.2} (margin {:.1}×)", budget / value.max(1e-9)),
        false => format!("**{value:.2}: over, {:.1}× the budget**", value / budget),
    }
}

/// A number with three digits that count.
#[must_use]
pub fn number(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        size if size >= 0.001 || size == 0.0 => format!("{value:.4}"),
        _ => format!("{value:.1e}"),
    }
}

/// Puts the tables between the marks of a page.
///
/// # Errors
/// When the page can't be read or written, or has no marks.
pub fn write_into(page: &Path, tables: &str) -> Result<(), LabError> {
    let text = std::fs::read_to_string(page)?;
    let replaced = replace(&text, tables).ok_or_else(|| {
        let problem = format!("{}: no lines `{BEGIN}` and `{END}`", page.display());
        LabError::usage(problem)
    })?;
    Ok(std::fs::write(page, replaced)?)
}

/// The page with the text between its marks replaced; `None` without marks.
#[must_use]
pub fn replace(page: &str, tables: &str) -> Option<String> {
    let (head, rest) = page.split_once(BEGIN)?;
    let (_, tail) = rest.split_once(END)?;
    Some(format!("{head}{BEGIN}\n\n{tables}\n{END}{tail}"))
}
