//! Settings of processes that serve declared services: routers in front of
//! back-end instances and the controllers behind them.
//!
//! The file is TOML. Unknown keys are refused, so that a misspelt one is seen. Environment variables
//! may state some of the limits, see [`crate::limit_variables`].

use crate::limit_variables::VariableLimits;
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Why a settings file is refused.
#[derive(Debug, snafu::Snafu)]
pub enum ServiceSettingsError {
    /// The file can't be read.
    #[snafu(display("settings: read {}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file's content is wrong.
    #[snafu(display("settings: {}: {message}", path.display()))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong and where.
        message: String,
    },
}

/// Settings of one process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name of the process, unique in the system.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The IP number that it dials from and listens on.
    pub address: IpAddr,
    /// Port for the other processes, routers included; the same on all machines. Controllers use the next
    /// one too.
    pub wire_port: u16,
    /// Operators' addresses of some controllers.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the system starts for the first time.
    #[serde(default)]
    pub found_group: bool,
    /// Folder for durable state; controllers only.
    #[serde(default)]
    pub data_folder: PathBuf,
    /// Key that all processes share, at least 16 bytes.
    pub cluster_key: String,
    /// Where the process listens.
    pub listen: ListenSettings,
    /// Times and limits.
    pub limits: ServiceLimits,
}

/// Addresses to listen on; one that is left out is not served.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Clients' requests.
    #[serde(default, deserialize_with = "optional_address")]
    pub clients: Option<SocketAddr>,
    /// Readiness.
    #[serde(default, deserialize_with = "optional_address")]
    pub ready: Option<SocketAddr>,
    /// Counters and histograms, as text.
    #[serde(default, deserialize_with = "optional_address")]
    pub metrics: Option<SocketAddr>,
    /// Operators and instances.
    #[serde(default, deserialize_with = "optional_address")]
    pub control: Option<SocketAddr>,
}

/// Times and limits that hold over all processes.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLimits {
    /// Retries allowed for each request.
    pub retry_ratio: f64,
    /// Retries allowed besides, over all routers, in one window.
    pub retry_slack: f64,
    /// The window, in seconds.
    pub retry_window_s: f64,
    /// Time between an instance's registrations, in milliseconds.
    pub registration_interval_ms: u64,
    /// Time that must lie between the orders of two leaders, in milliseconds.
    pub order_lease_ms: u64,
    /// Window of the weight store's ceiling, in seconds.
    pub load_window_s: f64,
    /// Time between the order to stop and the end by force, in seconds, from [`MIN_GRACE_S`] to
    /// [`MAX_GRACE_S`].
    pub grace_s: f64,
    /// Window over which the use of tenants is judged, in seconds.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// Part of a tenant's limit that may be used beyond it in a window.
    #[serde(default)]
    pub quota_overshoot: f64,
    /// Units that may be used beyond a tenant's limit in a window.
    #[serde(default)]
    pub quota_slack: f64,
    /// Time for which a router without a leader trusts the keys that it knows, in
    /// milliseconds; left out: as long as it is alone.
    #[serde(default)]
    pub key_trust_ms: Option<u64>,
    /// Memory that the process may use, in MB; left out: 256. Bodies, connections and heads of
    /// others have bounds that are shares of it.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Descriptors that the process may open; left out: 4,096. Clients' connections take at most
    /// half of them.
    #[serde(default)]
    pub max_open_files: Option<usize>,
}

/// Shortest grace period, in seconds: a shorter one leaves no time for the answers of a stop.
pub const MIN_GRACE_S: f64 = 0.5;
/// Longest grace period, in seconds.
pub const MAX_GRACE_S: f64 = 86_400.0;
/// Grace period, in seconds, from which on the margins of a planned stop have their full length.
const FULL_MARGINS_GRACE_S: f64 = 2.0;
/// Memory of a process whose settings do not state it, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 256_000_000;
/// Descriptors of a process whose settings do not state them.
const DEFAULT_OPEN_FILES: usize = 4_096;
/// Bytes of a megabyte.
const MEGABYTE: f64 = 1e6;

impl ServiceLimits {
    /// Time between the order to stop and the end by force.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Length of a margin of a planned stop whose full length is `full`: in proportion shorter for
    /// a short grace period, so that the steps of a stop keep their order and their time.
    #[must_use]
    pub fn stop_margin(&self, full: Duration) -> Duration {
        full.mul_f64((self.grace_s / FULL_MARGINS_GRACE_S).min(1.0))
    }

    /// Memory that the process may use, in bytes, or the default.
    #[must_use]
    pub fn process_memory_bytes(&self) -> usize {
        self.memory_bytes().unwrap_or(DEFAULT_MEMORY_BYTES)
    }

    /// Descriptors that the process may open, or the default.
    #[must_use]
    pub fn open_files(&self) -> usize {
        self.max_open_files.unwrap_or(DEFAULT_OPEN_FILES)
    }

    /// Memory that the process may use, in bytes, if the settings state it.
    #[must_use]
    pub fn memory_bytes(&self) -> Option<usize> {
        self.memory_mb
            .map(|megabytes| (megabytes * MEGABYTE) as usize)
    }
}

/// Window of tenants' use where the settings name none, in seconds.
fn default_quota_window_s() -> f64 {
    8.0
}

/// An address, or nothing where the text is empty.
fn optional_address<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<SocketAddr>, D::Error> {
    let text = String::deserialize(deserializer)?;
    if text.is_empty() {
        return Ok(None);
    }
    text.parse().map(Some).map_err(serde::de::Error::custom)
}

impl ServiceSettings {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    /// What is wrong, with its line.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Self = toml::from_str(text).map_err(|error| error.to_string())?;
        if settings.cluster_key.len() < MIN_KEY_BYTES {
            return Err(format!(
                "`cluster_key` must have at least {MIN_KEY_BYTES} bytes"
            ));
        }
        let grace_s = settings.limits.grace_s;
        if !(MIN_GRACE_S..=MAX_GRACE_S).contains(&grace_s) {
            return Err(format!(
                "`grace_s` is {grace_s}; allowed: {MIN_GRACE_S} to {MAX_GRACE_S} seconds"
            ));
        }
        Ok(settings)
    }

    /// Addresses of the seeds for other processes.
    #[must_use]
    pub fn seed_wire_addresses(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter();
        seeds
            .map(|seed| SocketAddr::new(seed.ip(), self.wire_port))
            .collect()
    }

    /// Port on which controllers listen for each other alone: what routers ask of a
    /// controller never stands before what its group needs.
    #[must_use]
    pub fn member_port(&self) -> u16 {
        self.wire_port.saturating_add(1)
    }

    /// Where this controller listens for the others.
    #[must_use]
    pub fn member_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.member_port())
    }

    /// This process's own address for other processes.
    #[must_use]
    pub fn wire_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.wire_port)
    }
}

/// Wire addresses of some controllers, as the settings in force name them.
#[derive(Debug)]
pub struct SeedList {
    addresses: Mutex<Vec<SocketAddr>>,
}

impl SeedList {
    /// The seeds of these settings.
    #[must_use]
    pub fn new(settings: &ServiceSettings) -> Self {
        Self {
            addresses: Mutex::new(settings.seed_wire_addresses()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The addresses.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.lock().clone()
    }

    /// Follows changed settings; returns how many seeds they name.
    pub fn follow(&self, settings: &ServiceSettings) -> usize {
        let seeds = settings.seed_wire_addresses();
        let count = seeds.len();
        *self.lock() = seeds;
        count
    }
}

/// A settings file that may change.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// The text that was looked at last, valid or not.
    text: String,
    /// Limits that hold over those of each content of the file.
    variables: VariableLimits,
}

impl SettingsFile {
    /// Opens the file and reads it for the first time. The limits of `variables` win over those that
    /// the file states, now and after each change.
    ///
    /// # Errors
    /// When it can't be read or holds something that is not allowed.
    pub fn open(
        path: PathBuf,
        variables: VariableLimits,
    ) -> Result<(Self, ServiceSettings), ServiceSettingsError> {
        let mut file = Self {
            path,
            text: String::new(),
            variables,
        };
        file.text = file.read()?;
        let settings = file.parse()?;
        Ok((file, settings))
    }

    /// The settings, if the file has changed since it was looked at last.
    ///
    /// # Errors
    /// When the new content is wrong, once for each new content.
    pub fn changed(&mut self) -> Result<Option<ServiceSettings>, ServiceSettingsError> {
        let text = self.read()?;
        if text == self.text {
            return Ok(None);
        }
        self.text = text;
        self.parse().map(Some)
    }

    fn read(&self) -> Result<String, ServiceSettingsError> {
        let path = self.path.clone();
        std::fs::read_to_string(&self.path)
            .map_err(|source| ServiceSettingsError::Unreadable { path, source })
    }

    fn parse(&self) -> Result<ServiceSettings, ServiceSettingsError> {
        let path = self.path.clone();
        let settings = ServiceSettings::parse(&self.text)
            .map_err(|message| ServiceSettingsError::Invalid { path, message })?;
        let limits = self.variables.over(settings.limits);
        Ok(ServiceSettings { limits, ..settings })
    }
}

/// Shortest key, in bytes.
const MIN_KEY_BYTES: usize = 16;
