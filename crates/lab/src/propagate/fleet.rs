//! Controllers and hollow routers of one run.

use crate::error::LabError;
use crate::hollow::router::{HollowRouter, HollowRouterSettings};
use crate::site::{Site, SiteSettings};
use courseshunt_operator::AdminClient;
use courseshunt_standin::model::StoreModelSettings;
use courseshunt_types::Revision;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Longest wait for a revision to be in force everywhere.
const PATIENCE: Duration = Duration::from_secs(60);
/// Time between looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(1);

/// See the module.
pub struct Fleet {
    site: Site,
    routers: Vec<HollowRouter>,
    stop: CancellationToken,
}

impl Fleet {
    /// Starts the controllers.
    ///
    /// # Errors
    /// When they can't start.
    pub async fn start(controllers: usize) -> Result<Self, LabError> {
        let settings = SiteSettings {
            routers: 0,
            runners: 0,
            runner_memory_mib: 0,
            store: StoreModelSettings::default(),
            zones: vec!["zone-a".to_owned()],
        };
        Ok(Self {
            site: Site::start_with(&settings, controllers).await?,
            routers: Vec::new(),
            stop: CancellationToken::new(),
        })
    }

    /// Client of the operators' API.
    #[must_use]
    pub fn admin(&self) -> AdminClient {
        self.site.admin()
    }

    /// Starts hollow routers.
    pub fn start_routers(&mut self, count: usize) {
        let controllers = self.site.controllers.iter();
        let controllers: Vec<_> = controllers.map(|one| one.wire_address).collect();
        let key = &self.site.controllers[0].context().cluster_key;
        let routers = (0..count).map(|number| {
            let settings = HollowRouterSettings {
                id: format!("router-{number:03}").into(),
                zone: "zone-a".to_owned(),
                controllers: controllers.clone(),
                key: key.clone(),
            };
            HollowRouter::start(settings, self.stop.clone())
        });
        self.routers = routers.collect();
    }

    /// Ends all routers and starts as many, all at once.
    pub fn restart_routers(&mut self, count: usize) {
        self.stop.cancel();
        self.stop = CancellationToken::new();
        self.start_routers(count);
    }

    /// Waits until every router has the revision and counts as synced.
    ///
    /// # Errors
    /// When that is not in time.
    pub async fn wait_in_force(&self, revision: Revision) -> Result<(), LabError> {
        let in_force = |one: &HollowRouter| one.revision() >= revision && one.view().is_synced();
        let wait = async {
            while !self.routers.iter().all(in_force) {
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(PATIENCE, wait).await;
        waited.map_err(|_| {
            let lagging = self.routers.iter().filter(|one| !in_force(one)).count();
            let count = self.routers.len();
            let message = format!("revision {revision} is not in force at {lagging} of {count}");
            LabError::violation(message)
        })
    }

    /// Stops everything.
    pub async fn stop(self) {
        self.stop.cancel();
        self.site.stop().await;
    }
}
