//! `courseshunt-lab capacity`.

use super::block_on;
use crate::capacity::site::FleetSize;
use crate::capacity::{CapacitySettings, SizeReport, requests, run as run_sizes, table};
use crate::error::LabError;
use courseshunt_settings::logging;
use courseshunt_settings::process::LogSettings;
use std::path::Path;
use std::time::Duration;

/// Sizes that tell routers and runners apart, up to the design size.
const DEFAULT_SIZES: &str = "43x104,340x104,43x830,170x415,340x415,340x830";
/// Rates of requests through real routers, in a second.
const RATES: [f64; 4] = [50.0, 100.0, 200.0, 400.0];
/// Length of each rate.
const RATE_LENGTH: Duration = Duration::from_secs(2);

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    let sizes = format!(
        "sizes as [CONTROLLERS:]ROUTERSxRUNNERS, separated by commas [default: {DEFAULT_SIZES}]"
    );
    options.optopt("", "sizes", &sizes, "SIZES");
    options.optopt(
        "",
        "controllers",
        "controllers of sizes that name none [default: 1]",
        "N",
    );
    options.optopt("", "seconds", "length of the idle phase [default: 4]", "N");
    options.optopt("", "changes", "changes at each size [default: 12]", "N");
    options.optopt(
        "",
        "loads",
        "loads at each size, up to 97 [default: 24]",
        "N",
    );
    options.optflag(
        "",
        "no-requests",
        "leave out the real routers under requests",
    );
    options.optopt(
        "",
        "write",
        "put the tables into this page, such as docs/design/deployments-capacity.md",
        "FILE",
    );
    options.optflag("", "json", "print every measured figure as JSON");
    options
}

pub fn help() -> String {
    options().usage("Usage: courseshunt-lab capacity [OPTIONS]")
}

pub fn run(arguments: &[String]) -> Result<(), LabError> {
    let matches = options().parse(arguments);
    let matches = matches.map_err(|error| LabError::usage(error.to_string()))?;
    let settings = settings(&matches)?;
    logging::start(&LogSettings {
        // A fleet that ends breaks its connections, which is worth no line.
        level: "error".to_owned(),
        format: "text".to_owned(),
    });
    block_on(async {
        let reports = run_sizes(&settings).await?;
        let measured = match matches.opt_present("no-requests") {
            true => Ok(None),
            false => requests::measure(&RATES, RATE_LENGTH).await.map(Some),
        };
        let (measured, failed) = match measured {
            Ok(measured) => (measured, None),
            Err(error) => (None, Some(error)),
        };
        show(&matches, &reports, measured.as_ref())?;
        // The sizes are shown also when the requests failed.
        failed.map_or(Ok(()), Err)
    })
}

fn show(
    matches: &getopts::Matches,
    reports: &[SizeReport],
    requests: Option<&requests::RequestReport>,
) -> Result<(), LabError> {
    if matches.opt_present("json") {
        print_json(reports, requests);
    }
    let tables = table::render(reports, requests);
    if let Some(page) = matches.opt_str("write") {
        table::write_into(Path::new(&page), &tables)?;
    }
    println!("{tables}");
    Ok(())
}

fn print_json(reports: &[SizeReport], requests: Option<&requests::RequestReport>) {
    println!(
        "{}",
        serde_json::json!({"sizes": reports, "requests": requests})
    );
}

fn settings(matches: &getopts::Matches) -> Result<CapacitySettings, LabError> {
    let number = |flag: &str, default: usize| match matches.opt_str(flag) {
        None => Ok(default),
        Some(text) => text
            .parse::<usize>()
            .ok()
            .filter(|number| *number > 0)
            .ok_or_else(|| {
                LabError::usage(format!(
                    "--{flag} is `{text}`; allowed: a whole number from 1"
                ))
            }),
    };
    let controllers = number("controllers", 1)?;
    let sizes = matches.opt_str("sizes");
    let sizes = sizes.unwrap_or_else(|| DEFAULT_SIZES.to_owned());
    let sizes: Result<Vec<FleetSize>, LabError> = sizes
        .split(',')
        .map(|size| parse_size(size, controllers))
        .collect();
    Ok(CapacitySettings {
        sizes: sizes?,
        idle: Duration::from_secs(number("seconds", 4)? as u64),
        changes: number("changes", 12)?,
        loads: number("loads", 24)?.min(crate::capacity::documents::MODELS),
    })
}

/// Reads `CONTROLLERS:ROUTERSxRUNNERS` or `ROUTERSxRUNNERS`.
fn parse_size(text: &str, controllers: usize) -> Result<FleetSize, LabError> {
    let counts = |text: &str| -> Option<FleetSize> {
        let (controllers, rest) = match text.split_once(':') {
            Some((own, rest)) => (own.trim().parse().ok()?, rest),
            None => (controllers, text),
        };
        let (routers, runners) = rest.split_once('x')?;
        let size = FleetSize {
            controllers,
            routers: routers.trim().parse().ok()?,
            runners: runners.trim().parse().ok()?,
        };
        (size.controllers > 0 && size.routers > 0 && size.runners > 0).then_some(size)
    };
    counts(text).ok_or_else(|| {
        LabError::usage(format!(
            "--sizes has `{text}`; allowed: [CONTROLLERS:]ROUTERSxRUNNERS, such as 3:43x104"
        ))
    })
}
