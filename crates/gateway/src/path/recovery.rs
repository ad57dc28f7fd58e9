//! Tries lost paths again, so that no request pays for finding out that they are back.

use super::connect_directly;
use crate::Shared;
use courseshunt_types::RunnerId;
use std::sync::Arc;
use std::time::Duration;

/// Interval between attempts to open a connection on a lost path.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(500);

/// Tries lost paths again until the process ends, so that no request pays for it.
pub(crate) async fn recover_lost(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(RECOVERY_INTERVAL).await;
        loop {
            let next = shared.paths().next_to_try();
            let Some(instance) = next else { break };
            if !try_path(&shared, &instance).await {
                break;
            }
        }
        // Shows whether other instances are reached, if there is no lost path to try.
        for service in partitioned_services(&shared) {
            if let Some(instance) = shared.view.any_instance(&service, rand::random()) {
                try_path(&shared, &instance).await;
            }
        }
    }
}

fn partitioned_services(shared: &Shared) -> Vec<String> {
    let paths = shared.paths();
    paths.partitioned_services().map(str::to_owned).collect()
}

/// Tries to open a connection; returns whether it succeeded.
async fn try_path(shared: &Shared, instance: &RunnerId) -> bool {
    let Some(view) = shared.view.instance(instance) else {
        shared.paths().remove(std::slice::from_ref(instance));
        return true;
    };
    let connected = connect_directly(shared, &view).await;
    let is_connected = connected.is_ok();
    if let Ok(upstream) = connected {
        shared.pool.put_back(upstream);
    }
    is_connected
}
