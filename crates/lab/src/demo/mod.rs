//! The demo: a small site, a burst of first requests to a cold model at all
//! routers, a stream, a once-only command sent twice, and a deferred plan.

mod caller;
mod plan;
mod table;

use crate::error::LabError;
use crate::site::{Site, SiteSettings};
use caller::{Caller, CallerAnswer};
use courseshunt_operator::{RenderedBatch, read_documents, render};
use courseshunt_standin::model::StoreModelSettings;
use courseshunt_types::Revision;
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use table::{Row, print_table};

/// Settings of the demo.
#[derive(Debug, Clone)]
pub struct DemoSettings {
    /// Folder with `templates/` and `tenants/`.
    pub examples: PathBuf,
    /// Stay up afterwards.
    pub keep: bool,
}

/// Requests of the burst at each router.
const BURST_PER_ROUTER: usize = 4;
/// Longest wait for the configuration to be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(16);
/// The demo's token; its digest is in the examples' parameters.
pub const TENANT_TOKEN: &str = "souss-demo-token";

/// Runs the demo.
///
/// # Errors
/// When a part fails or a promise does not hold.
pub async fn run(settings: &DemoSettings) -> Result<(), LabError> {
    let site = Site::start(&SiteSettings {
        routers: 3,
        runners: 6,
        runner_memory_mib: 81_920,
        store: StoreModelSettings {
            transfer_mib_per_second: 8192.0,
            ..StoreModelSettings::default()
        },
        zones: ["biougra", "chtouka", "ait-melloul"]
            .map(str::to_owned)
            .to_vec(),
    })
    .await?;
    let batch = render_examples(&settings.examples)?;
    let count = batch.deployment.len();
    let revision = site
        .admin()
        .apply(&batch.into_change("demo".into()))
        .await?;
    wait_in_force(&site, revision).await?;
    println!("{count} deployments applied as revision {revision}, in force at 3 routers\n");

    let callers = callers(&site);
    let mut rows = burst(&callers).await?;
    rows.push(streamed(&callers[0]).await?);
    rows.extend(once_only(&callers).await?);
    rows.push(planned(&site).await?);
    print_table(&rows);
    check_executions(&site)?;
    if settings.keep {
        keep(&site).await?;
    }
    site.stop().await;
    Ok(())
}

fn callers(site: &Site) -> Vec<Caller> {
    let addresses = site.routers.iter().map(|router| router.http_address);
    addresses.map(Caller::new).collect()
}

/// Renders every template with every tenant's parameters.
fn render_examples(examples: &Path) -> Result<RenderedBatch, LabError> {
    let mut batch = RenderedBatch::default();
    for tenant in files(&examples.join("tenants"))? {
        for template in files(&examples.join("templates"))? {
            let text = render(&template, &tenant)?;
            batch.extend(read_documents(&template, &text)?);
        }
    }
    Ok(batch)
}

fn files(folder: &Path) -> Result<Vec<PathBuf>, LabError> {
    let listed = std::fs::read_dir(folder).map_err(|error| {
        LabError::usage(format!("{}: can't be read: {error}", folder.display()))
    })?;
    let mut paths: Vec<PathBuf> = listed
        .filter_map(|entry| Some(entry.ok()?.path()))
        .collect();
    paths.sort();
    Ok(paths)
}

async fn wait_in_force(site: &Site, revision: Revision) -> Result<(), LabError> {
    let wait = async {
        while !site
            .routers
            .iter()
            .all(|one| one.context().view.revision() >= revision)
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(IN_FORCE_TIMEOUT, wait).await;
    waited.map_err(|_| LabError::violation("the configuration is not in force everywhere"))
}

/// First requests to a cold model, at all routers at once.
async fn burst(callers: &[Caller]) -> Result<Vec<Row>, LabError> {
    let mut work = Vec::new();
    for (position, caller) in callers.iter().enumerate() {
        for number in 0..BURST_PER_ROUTER {
            let caller = caller.clone();
            let prompt = format!("plan for hall {position}-{number}");
            work.push(tokio::spawn(async move {
                let answer = caller.whole("agro-llm-tomato", &prompt, None).await;
                (position, answer)
            }));
        }
    }
    let mut rows = Vec::new();
    for task in work {
        let (position, answer) = task
            .await
            .map_err(|error| LabError::violation(error.to_string()))?;
        let router = format!("router-{}", position + 1);
        rows.push(Row::new("first request, cold model", &router, &answer?));
    }
    Ok(rows)
}

async fn streamed(caller: &Caller) -> Result<Row, LabError> {
    let answer = caller.stream("agro-llm-tomato", "report for today").await?;
    Ok(Row::new("stream, warm model", "router-1", &answer))
}

/// The same valve command through two routers: it runs once.
async fn once_only(callers: &[Caller]) -> Result<Vec<Row>, LabError> {
    let send = async |caller: &Caller| -> Result<CallerAnswer, LabError> {
        caller
            .whole("climate-ctl-vents", "open valve 7", Some("valve-7-0642"))
            .await
    };
    let first = send(&callers[0]).await?;
    let second = send(&callers[1]).await?;
    if first.text != second.text {
        return Err(LabError::violation(
            "the repeated command got another answer",
        ));
    }
    Ok(vec![
        Row::new("valve command", "router-1", &first),
        Row::new("same valve command again", "router-2", &second),
    ])
}

/// A deferred plan, handed in at router-1 and fetched at router-3.
async fn planned(site: &Site) -> Result<Row, LabError> {
    let [first, last] = [&site.routers[0], &site.routers[2]].map(|one| one.http_address);
    let answer = plan::deferred("agro-llm-tomato", first, last).await?;
    Ok(Row::new("deferred plan, fetched at 3", "router-1", &answer))
}

/// Looks at the runners' own records.
fn check_executions(site: &Site) -> Result<(), LabError> {
    let executions: Vec<_> = site
        .runners
        .iter()
        .flat_map(|one| one.executions())
        .collect();
    let valve = executions
        .iter()
        .filter(|one| one.prompt.contains("open valve 7"))
        .count();
    println!(
        "\nthe runners executed {} requests; the valve command ran {valve} time(s)",
        executions.len()
    );
    let state = site.controllers[0].context().replica.state();
    for record in state.placement.replicas.values() {
        println!(
            "{} is loaded on {}",
            record.replica.deployment, record.replica.runner
        );
    }
    if valve != 1 {
        return Err(LabError::violation(
            "the valve command did not run exactly once",
        ));
    }
    Ok(())
}

async fn keep(site: &Site) -> Result<(), LabError> {
    println!("\nrouters:");
    for router in &site.routers {
        println!("  http://{}", router.http_address);
    }
    println!("operators' API (token {}):", crate::site::OPERATOR_TOKEN);
    println!("  http://{}", site.controllers[0].http_address);
    println!("\ntry, streamed and whole:");
    for stream in [true, false] {
        println!("  {}", curl_line(site.routers[0].http_address, stream));
    }
    println!("\nstop with Ctrl-C");
    tokio::signal::ctrl_c().await?;
    Ok(())
}

/// A command that asks a router for an answer.
fn curl_line(address: SocketAddr, stream: bool) -> String {
    let body = json!({
        "model": "agro-llm-tomato", "stream": stream,
        "messages": [{"role": "user", "content": "hello"}],
    });
    format!(
        "curl -sN http://{address}/v1/chat/completions -H 'Authorization: Bearer {TENANT_TOKEN}' -d '{body}'"
    )
}
