//! The platform's list of machines: `GET /machines`.

use super::not_found;
use courseshunt_http::{ServerLimits, json_response, serve};
use courseshunt_types::RunnerId;
use courseshunt_types::runner_api::{MachineItem, MachineState};
use hyper::StatusCode;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// A running stand-in of the platform.
#[derive(Debug, Clone)]
pub struct PlatformServer {
    /// Its address.
    pub address: SocketAddr,
    machines: Arc<Mutex<Vec<MachineItem>>>,
    stop: CancellationToken,
}

impl PlatformServer {
    /// Starts it with an empty list.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let server = Self {
            address: listener.local_addr()?,
            machines: Arc::default(),
            stop: CancellationToken::new(),
        };
        let machines = server.machines.clone();
        let handler = move |request: hyper::Request<hyper::body::Incoming>, _| {
            let list = machines
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            async move {
                match request.uri().path() {
                    "/machines" => json_response(StatusCode::OK, &list),
                    _ => not_found(),
                }
            }
        };
        let stop = server.stop.clone();
        tokio::spawn(serve(listener, ServerLimits::default(), stop, handler));
        Ok(server)
    }

    /// Adds or replaces a machine.
    pub fn set(&self, machine: MachineItem) {
        let mut machines = self.machines.lock().unwrap_or_else(PoisonError::into_inner);
        machines.retain(|one| one.runner != machine.runner);
        machines.push(machine);
    }

    /// Changes the state of a machine.
    pub fn set_state(&self, runner: &RunnerId, state: MachineState) {
        let mut machines = self.machines.lock().unwrap_or_else(PoisonError::into_inner);
        for machine in machines.iter_mut().filter(|one| one.runner == *runner) {
            machine.state = state;
        }
    }

    /// Stops it.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}
