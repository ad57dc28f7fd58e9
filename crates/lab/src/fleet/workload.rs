//! The callers of a fleet: the scenario's streams of requests, pressed into
//! seconds.

use super::FleetSettings;
use crate::load::{ArrivalPlan, Mix, PlannedRequest, Share, arrival_times};
use courseshunt_standin::scenario::Traffic;
use courseshunt_types::DeploymentDocument;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Longest answer, in tokens; answers of hundreds would outlast the run.
const MAX_TOKENS: u32 = 24;
/// Share of streams among the requests that may run more than once.
const STREAMS: f64 = 0.4;
/// Least share of once-only requests, so that a short run has some.
const LEAST_ONCE_ONLY: f64 = 0.1;
/// Requests that come together, on average, at the most.
const MAX_BURST: f64 = 6.0;
const PROMPT_BYTES: usize = 64;

/// All requests of a run, in the order of their times.
#[must_use]
pub fn requests(
    settings: &FleetSettings,
    deployments: &[DeploymentDocument],
) -> Vec<PlannedRequest> {
    let scenario = &settings.scenario;
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(settings.seed);
    let daily: f64 = scenario
        .traffic
        .iter()
        .map(|one| one.requests_per_day)
        .sum();
    let mut all = Vec::new();
    for traffic in &scenario.traffic {
        let plan = ArrivalPlan {
            // Rare streams are heard too: at least a tenth of an even share.
            rate_per_second: settings.rate_per_second
                * (traffic.requests_per_day / daily).max(0.1 / scenario.traffic.len() as f64),
            length: settings.length,
            burst_size: traffic.burst_size.clamp(1.0, MAX_BURST),
        };
        let mix = mix(traffic, deployments, settings.max_deadline);
        let times = arrival_times(&plan, &mut random);
        all.extend(times.into_iter().map(|at| mix.draw(0, at, &mut random)));
    }
    all.sort_by_key(|request| request.at);
    for (number, request) in all.iter_mut().enumerate() {
        request.number = number;
        let nonce: u64 = random.random();
        request.key = format!("fleet-{number}-{nonce:016x}");
        request.prompt = format!("request {number} {nonce:016x} of {}", request.model);
    }
    all
}

fn mix(traffic: &Traffic, deployments: &[DeploymentDocument], max_deadline: Duration) -> Mix {
    let prefix = format!("{}-", traffic.family);
    let members = deployments.iter().filter(|one| {
        let number = one.name.as_str().strip_prefix(&prefix);
        number.is_some_and(|number| number.parse::<u32>().is_ok())
    });
    let models = members.enumerate().map(|(rank, document)| Share {
        choice: document.name.to_string(),
        weight: ((rank + 1) as f64).powf(-traffic.popularity_exponent),
    });
    Mix {
        models: models.collect(),
        classes: vec![Share {
            choice: traffic.class,
            weight: 1.0,
        }],
        once_only: traffic.once_only.max(LEAST_ONCE_ONLY),
        jobs: 0.0,
        streams: STREAMS,
        deadline: Duration::from(traffic.deadline_ms).min(max_deadline),
        max_tokens: traffic.answer_tokens.clamp(1, MAX_TOKENS),
        prompt_bytes: PROMPT_BYTES,
    }
}
