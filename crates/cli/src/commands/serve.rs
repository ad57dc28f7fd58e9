//! `courseshunt controller` and `courseshunt router`: run until told to stop.

use super::block_on;
use crate::error::CommandError;
use courseshunt_controller::Controller;
use courseshunt_router::Router;
use courseshunt_settings::process::{CONTROLLER_TABLE, ROUTER_TABLE};
use courseshunt_settings::{ControllerSettings, RouterSettings, help_text, logging};
use tokio::signal::unix::{SignalKind, signal};

pub fn controller_help() -> String {
    help_text(CONTROLLER_TABLE, "Usage: courseshunt controller [OPTIONS]")
}

pub fn router_help() -> String {
    help_text(ROUTER_TABLE, "Usage: courseshunt router [OPTIONS]")
}

pub fn controller(arguments: &[String]) -> Result<(), CommandError> {
    let settings = ControllerSettings::load(arguments)?;
    logging::start(&settings.logging);
    block_on(async {
        let controller = Controller::start(settings).await?;
        tokio::select! {
            signal = stop_signal() => signal?,
            problem = controller.failed() => {
                let problem = problem.to_string();
                return Err(CommandError::ReplicaEnded { problem });
            }
        }
        controller.stop().await;
        Ok(())
    })
}

pub fn router(arguments: &[String]) -> Result<(), CommandError> {
    let settings = RouterSettings::load(arguments)?;
    logging::start(&settings.logging);
    block_on(async {
        let router = Router::start(settings).await?;
        tokio::select! {
            signal = stop_signal() => signal?,
            () = router.drain_requested() => {}
        }
        router.stop().await;
        Ok(())
    })
}

/// Waits for SIGTERM or an interrupt: the planned stop.
async fn stop_signal() -> Result<(), CommandError> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    Ok(())
}
