//! The overview as text for a terminal.

use courseshunt_types::overview::{DeploymentOverview, Overview, RouterOverview, Warmth};
use courseshunt_types::runner_api::MachineState;
use std::fmt::Write;

/// Lagging routers that are named.
const MAX_NAMED_ROUTERS: usize = 10;
/// MiB of a GiB.
const MIB_PER_GIB: u64 = 1024;

/// The view; `all` shows deployments that are cold and idle too.
#[must_use]
pub fn render(overview: &Overview, all: bool) -> String {
    let mut text = head(overview);
    text.push_str(&control_group(overview));
    text.push_str(&fleet(overview));
    text.push_str(&lagging(&overview.routers));
    text.push_str(&deployments(&overview.deployments, all));
    text
}

fn head(overview: &Overview) -> String {
    let leader = match overview.leader {
        Some(leader) => format!("leader {leader}"),
        None => "NO LEADER".to_owned(),
    };
    format!(
        "controller {} ({}), {leader}, term {}, applied {}, revision {}\n",
        overview.controller, overview.role, overview.term, overview.applied, overview.revision
    )
}

fn control_group(overview: &Overview) -> String {
    let Some(group) = overview.control_group else {
        return "voters      the leader knows\n".to_owned();
    };
    let bears = match group.bearable_losses {
        0 => "BEARS NO LOSS".to_owned(),
        1 => "bears 1 loss".to_owned(),
        more => format!("bears {more} losses"),
    };
    format!(
        "voters      {} of {} live, {bears}\n",
        group.live_voters, group.voters
    )
}

fn fleet(overview: &Overview) -> String {
    let runners = &overview.runners;
    let count = |state| runners.iter().filter(|one| one.state == state).count();
    let present = runners.iter().filter(|one| one.state != MachineState::Gone);
    let memory: u64 = present.map(|one| one.memory_mib).sum();
    let reserved: u64 = runners.iter().map(|one| one.reserved_mib).sum();
    let warmth = |wanted| {
        let deployments = overview.deployments.iter();
        deployments.filter(|one| one.warmth == wanted).count()
    };
    format!(
        "runners     {} live, {} leaving, {} gone; {} of {} GiB reserved\n\
         routers     {}\n\
         deployments {} warm, {} loading, {} cold\n",
        count(MachineState::Live),
        count(MachineState::Leaving),
        count(MachineState::Gone),
        reserved / MIB_PER_GIB,
        memory / MIB_PER_GIB,
        overview.routers.len(),
        warmth(Warmth::Warm),
        warmth(Warmth::Loading),
        warmth(Warmth::Cold),
    )
}

fn lagging(routers: &[RouterOverview]) -> String {
    let mut behind: Vec<&RouterOverview> = routers.iter().filter(|one| one.behind > 0).collect();
    behind.sort_by_key(|one| std::cmp::Reverse(one.behind));
    if behind.is_empty() {
        return "lagging     none\n".to_owned();
    }
    let mut text = format!("lagging     {} routers\n", behind.len());
    for router in behind.iter().take(MAX_NAMED_ROUTERS) {
        // Writing into a string does not fail.
        let _ = writeln!(
            text,
            "  {} in {}: revision {}, {} behind",
            router.router, router.zone, router.revision, router.behind
        );
    }
    text
}

fn deployments(deployments: &[DeploymentOverview], all: bool) -> String {
    let busy = |one: &&DeploymentOverview| {
        all || one.warmth != Warmth::Cold || one.waiting() + one.running > 0
    };
    let mut shown: Vec<&DeploymentOverview> = deployments.iter().filter(busy).collect();
    shown.sort_by_key(|one| std::cmp::Reverse((one.waiting(), one.running)));
    let mut text = format!(
        "\n{:<32}{:<9}{:>9}{:>9}{:>13}{:>7}{:>9}{:>11}  {}\n",
        "deployment",
        "state",
        "replicas",
        "critical",
        "interactive",
        "batch",
        "running",
        "oldest s",
        "runners"
    );
    for one in &shown {
        text.push_str(&line(one));
    }
    let hidden = deployments.len() - shown.len();
    if hidden > 0 {
        let _ = writeln!(
            text,
            "({hidden} cold and idle deployments; --all shows them)"
        );
    }
    text
}

fn line(one: &DeploymentOverview) -> String {
    let state = match one.warmth {
        Warmth::Warm => "warm",
        Warmth::Loading => "loading",
        Warmth::Cold => "cold",
    };
    let runners = one
        .replicas
        .iter()
        .map(|replica| match replica.phase.as_str() {
            "ready" => replica.runner.to_string(),
            phase => format!("{} ({phase})", replica.runner),
        });
    let runners: Vec<String> = runners.collect();
    let replicas = format!("{}/{}", one.replicas.len(), one.max_replicas);
    let line = format!(
        "{:<32}{:<9}{:>9}{:>9}{:>13}{:>7}{:>9}{:>11.1}  {}",
        one.deployment.as_str(),
        state,
        replicas,
        one.waiting_critical,
        one.waiting_interactive,
        one.waiting_batch,
        one.running,
        one.oldest_wait_ms.as_secs_f64(),
        runners.join(", ")
    );
    format!("{}\n", line.trim_end())
}
