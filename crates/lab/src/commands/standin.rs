//! `courseshunt-lab standin runner|store|platform`: one stand-in as a process
//! of its own.

use super::block_on;
use crate::error::LabError;
use courseshunt_settings::process::STANDIN_TABLE;
use courseshunt_settings::standins::{
    PLATFORM_TABLE, PlatformListSettings, STORE_TABLE, StoreSettings,
};
use courseshunt_settings::{StandinSettings, help_text, logging};
use courseshunt_standin::model::{RunnerModelSettings, StoreModelSettings};
use courseshunt_standin::server::{PlatformServer, RunnerServer, StoreServer};
use courseshunt_types::Incarnation;
use courseshunt_types::runner_api::{MachineItem, MachineState};
use tokio::signal::unix::{SignalKind, signal};

pub fn help() -> String {
    let parts = [
        (STANDIN_TABLE, "runner"),
        (STORE_TABLE, "store"),
        (PLATFORM_TABLE, "platform"),
    ];
    let texts = parts.map(|(table, name)| {
        let brief = format!("Usage: courseshunt-lab standin {name} [OPTIONS]");
        help_text(table, &brief)
    });
    texts.join("\n")
}

pub fn run(arguments: &[String]) -> Result<(), LabError> {
    let Some((kind, rest)) = arguments.split_first() else {
        return Err(LabError::usage(
            "name a stand-in: runner, store or platform",
        ));
    };
    match kind.as_str() {
        "runner" => runner(rest),
        "store" => store(rest),
        "platform" => platform(rest),
        other => {
            let problem = format!("unknown stand-in `{other}`; known: runner, store, platform");
            Err(LabError::usage(problem))
        }
    }
}

fn runner(arguments: &[String]) -> Result<(), LabError> {
    let settings = StandinSettings::load(arguments)?;
    logging::start(&settings.logging);
    let token = std::fs::read_to_string(&settings.runner_token_file)?;
    let mut model = RunnerModelSettings::named(
        settings.id.as_str(),
        settings.zone.as_str(),
        settings.memory_mib,
    );
    model.incarnation = Incarnation(rand::random());
    block_on(async {
        let address = settings.http_address;
        let server = RunnerServer::start(address, settings.store_address, token.trim(), model);
        let server = server.await?;
        log::info!(
            "standin: runner {} serves on {}",
            settings.id,
            server.address
        );
        stop_signal().await?;
        server.stop();
        Ok(())
    })
}

fn store(arguments: &[String]) -> Result<(), LabError> {
    let settings = StoreSettings::load(arguments)?;
    logging::start(&settings.logging);
    let model = StoreModelSettings {
        starts_per_second: f64::from(settings.loads_per_second),
        full_speed_transfers: settings.concurrency,
        transfer_mib_per_second: f64::from(settings.transfer_mib_per_second),
    };
    block_on(async {
        let server = StoreServer::start(settings.http_address, model).await?;
        log::info!("standin: weight store serves on {}", server.address);
        stop_signal().await?;
        server.stop();
        Ok(())
    })
}

fn platform(arguments: &[String]) -> Result<(), LabError> {
    let settings = PlatformListSettings::load(arguments)?;
    logging::start(&settings.logging);
    block_on(async {
        let server = PlatformServer::start(settings.http_address).await?;
        for machine in settings.machines {
            server.set(MachineItem {
                runner: machine.name.as_str().into(),
                address: machine.address.to_string(),
                zone: machine.zone.as_str().into(),
                state: MachineState::Live,
            });
        }
        log::info!("standin: platform serves on {}", server.address);
        stop_signal().await?;
        server.stop();
        Ok(())
    })
}

/// Waits for SIGTERM or an interrupt.
async fn stop_signal() -> Result<(), LabError> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    Ok(())
}
