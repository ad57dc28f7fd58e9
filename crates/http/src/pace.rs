//! Bounds how fast connections are accepted, so that the work of a crowd that
//! connects at once (instances and routers after a restart) leaves turns for
//! everything else on the thread.

use std::time::Duration;

/// Connections that are accepted without a rest.
const BURST: u32 = 8;
/// Rest after them.
const REST: Duration = Duration::from_millis(5);

/// See the module; one for each listener.
#[derive(Debug, Default)]
pub struct AcceptPace {
    accepted: u32,
}

impl AcceptPace {
    /// Notes an accepted connection; rests when it is time to.
    pub async fn accepted(&mut self) {
        self.accepted += 1;
        if self.accepted.is_multiple_of(BURST) {
            tokio::time::sleep(REST).await;
        }
    }
}
