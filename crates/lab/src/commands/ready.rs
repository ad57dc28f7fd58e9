//! `courseshunt-lab ready`: whether a process says that it is ready.

use super::block_on;
use super::flags::required;
use crate::error::LabError;
use courseshunt_http::HttpClient;
use hyper::Method;
use std::time::Duration;

/// Longest wait for the page.
const LIMIT: Duration = Duration::from_secs(2);

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optopt("", "address", "HTTP address of a process", "IP:PORT");
    options
}

pub fn help() -> String {
    options().usage(
        "Usage: courseshunt-lab ready --address IP:PORT\n\n\
         Exits with 0 when the page /readyz answers 200, else with 1.",
    )
}

pub fn run(arguments: &[String]) -> Result<(), LabError> {
    let matches = options().parse(arguments);
    let matches = matches.map_err(|error| LabError::usage(error.to_string()))?;
    let address = required(&matches, "address")?;
    block_on(async {
        let client = HttpClient::default();
        let call = client.call::<()>(Method::GET, &address, "/readyz", None, None, LIMIT);
        let reply = call.await?;
        match reply.status.is_success() {
            true => Ok(()),
            false => Err(LabError::violation(format!("{address} is not ready"))),
        }
    })
}
