//! A controller with simulated runners, weight store and platform on loopback.

use courseshunt_controller::Controller;
use courseshunt_queue::{DemandReport, WaitingByClass};
use courseshunt_settings::ControllerSettings;
use courseshunt_settings::process::LogSettings;
use courseshunt_standin::model::{RunnerModelSettings, StoreModelSettings};
use courseshunt_standin::server::{PlatformServer, RunnerServer, StoreServer};
use courseshunt_state::{ChangeRequest, Command, ReplicaPhase, ReplicaRecord};
use courseshunt_types::runner_api::{MachineItem, MachineState};
use courseshunt_types::{ControllerId, DeploymentDocument, Incarnation, Millis, RunnerId};
use std::net::SocketAddr;
use std::time::Duration;

/// Token of the runners' control interface.
pub const RUNNER_TOKEN: &str = "runner-token";
/// Longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(30);

pub struct Site {
    pub platform: PlatformServer,
    pub store: StoreServer,
    pub controller: Option<Controller>,
    folder: tempfile::TempDir,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Site {
    /// Starts a site without runners whose weight store transfers `mib_per_second`.
    pub async fn start(mib_per_second: f64) -> Self {
        let folder = tempfile::tempdir().unwrap();
        for (file, content) in [
            ("cluster.key", "0123456789abcdef"),
            ("runner.token", RUNNER_TOKEN),
            ("operators", "operate operator-token\n"),
        ] {
            std::fs::write(folder.path().join(file), content).unwrap();
        }
        let store = StoreModelSettings {
            transfer_mib_per_second: mib_per_second,
            starts_per_second: 10.0,
            ..StoreModelSettings::default()
        };
        let mut site = Self {
            platform: PlatformServer::start(any_port()).await.unwrap(),
            store: StoreServer::start(any_port(), store).await.unwrap(),
            controller: None,
            folder,
        };
        site.start_controller().await;
        site
    }

    pub async fn start_controller(&mut self) {
        let folder = self.folder.path();
        let settings = ControllerSettings {
            id: ControllerId(1),
            http_address: any_port(),
            wire_address: any_port(),
            voters: Vec::new(),
            data_folder: folder.join("data"),
            platform_address: self.platform.address,
            operator_token_file: folder.join("operators"),
            runner_token_file: folder.join("runner.token"),
            policy: "load-on-demand".to_owned(),
            store_loads_per_second: 10,
            store_concurrency: 6,
            source_address: None,
            zone: "a".into(),
            cluster_key_file: folder.join("cluster.key"),
            logging: LogSettings {
                level: "warn".to_owned(),
                format: "text".to_owned(),
            },
        };
        self.controller = Some(Controller::start(settings).await.unwrap());
    }

    pub fn controller(&self) -> &Controller {
        self.controller.as_ref().unwrap()
    }

    /// Adds a runner with 100 MiB of accelerator memory.
    pub async fn add_runner(&self, name: &str, incarnation: u64) -> RunnerServer {
        let mut settings = RunnerModelSettings::named(name, "a", 100);
        settings.incarnation = Incarnation(incarnation);
        settings.engine_start_ms = Millis(20);
        let runner = RunnerServer::start(any_port(), self.store.address, RUNNER_TOKEN, settings)
            .await
            .unwrap();
        self.list(name, runner.address, MachineState::Live);
        runner
    }

    pub fn list(&self, name: &str, address: SocketAddr, state: MachineState) {
        self.platform.set(MachineItem {
            runner: name.into(),
            address: address.to_string(),
            zone: "a".into(),
            state,
        });
    }

    /// Configures a deployment that needs 60 MiB of accelerator memory.
    pub async fn configure(&self, name: &str) {
        let document: DeploymentDocument = serde_json::from_value(serde_json::json!({
            "name": name, "version": 1, "model": name, "tenant": "souss", "memory_mib": 60
        }))
        .unwrap();
        let change = ChangeRequest {
            change_id: name.into(),
            deployments: vec![document],
            ..ChangeRequest::default()
        };
        let command = Command::ChangeConfiguration(change);
        let replica = &self.controller().context().replica;
        until("the controller leads", || replica.status().borrow().leads()).await;
        replica.submit(command).await.unwrap();
    }

    /// Reports a demand of `waiting` queued requests.
    pub fn demand(&self, deployment: &str, waiting: u32) {
        let context = self.controller().context();
        let waiting = WaitingByClass {
            interactive: waiting,
            ..WaitingByClass::default()
        };
        let report = DemandReport {
            deployment: deployment.into(),
            waiting,
            running: 0,
            arrived: waiting,
            earliest_deadline_in: Some(Millis::from_secs(60)),
            longest_wait: Millis(0),
        };
        context
            .demand
            .record(&"router-1".into(), report, context.clock.now());
    }

    /// The decided replicas of a deployment.
    pub fn replicas(&self, deployment: &str) -> Vec<ReplicaRecord> {
        let state = self.controller().context().replica.state();
        let deployment = deployment.into();
        let records = state.placement.of_deployment(&deployment);
        records.cloned().collect()
    }

    /// The runner that serves a deployment.
    pub fn served_by(&self, deployment: &str) -> Option<RunnerId> {
        let records = self.replicas(deployment);
        let mut ready = records
            .into_iter()
            .filter(|one| one.phase == ReplicaPhase::Ready);
        ready.next().map(|one| one.replica.runner)
    }
}

/// Waits until a condition holds.
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    while !condition() {
        assert!(
            tokio::time::Instant::now() < deadline,
            "timed out waiting for: {what}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
