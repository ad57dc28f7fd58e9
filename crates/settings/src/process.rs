//! Tables and typed settings of each process.

use crate::error::SettingsError;
use crate::load::{Values, load};
use crate::table::{Kind, Setting};
use courseshunt_types::{ControllerId, Millis, RouterId, RunnerId, Zone};
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// Settings that every process has.
pub(crate) const LOG_LEVEL: Setting = Setting {
    key: "log_level",
    kind: Kind::Choice(&["error", "warn", "info", "debug", "trace"]),
    default: Some("info"),
    help: "least important log lines that are written",
};
pub(crate) const LOG_FORMAT: Setting = Setting {
    key: "log_format",
    kind: Kind::Choice(&["text", "json"]),
    default: Some("text"),
    help: "form of log lines",
};
const ZONE: Setting = Setting {
    key: "zone",
    kind: Kind::Text,
    default: Some("default"),
    help: "zone that the process runs in",
};
const SOURCE_ADDRESS: Setting = Setting {
    key: "source_address",
    kind: Kind::Ip,
    default: Some(""),
    help: "IP number that outgoing connections come from; empty: the system chooses",
};
const CLUSTER_KEY_FILE: Setting = Setting {
    key: "cluster_key_file",
    kind: Kind::Path,
    default: None,
    help: "file with the key that all processes of the cluster share",
};

/// Settings of `courseshunt controller`.
pub const CONTROLLER_TABLE: &[Setting] = &[
    Setting {
        key: "id",
        kind: Kind::Integer {
            min: 1,
            max: u64::MAX,
        },
        default: None,
        help: "identity in the control group; never used again after its disk is lost",
    },
    Setting {
        key: "http_address",
        kind: Kind::Address,
        default: Some("127.0.0.1:7100"),
        help: "address of the operators' API",
    },
    Setting {
        key: "wire_address",
        kind: Kind::Address,
        default: Some("127.0.0.1:7101"),
        help: "address for other processes of the cluster",
    },
    Setting {
        key: "voters",
        kind: Kind::Peers,
        default: Some(""),
        help: "first voters of a new group, as id=ip:port of their wire addresses; empty: this one alone",
    },
    Setting {
        key: "data_folder",
        kind: Kind::Path,
        default: None,
        help: "folder for durable state",
    },
    Setting {
        key: "platform_address",
        kind: Kind::Address,
        default: Some("127.0.0.1:7000"),
        help: "address of the platform's list of machines",
    },
    Setting {
        key: "operator_token_file",
        kind: Kind::Path,
        default: None,
        help: "file with lines `role token`; roles: read, apply, operate",
    },
    Setting {
        key: "runner_token_file",
        kind: Kind::Path,
        default: None,
        help: "file with the token for the runners' control interface",
    },
    Setting {
        key: "policy",
        kind: Kind::Text,
        default: Some("load-on-demand"),
        help: "placement policy",
    },
    Setting {
        key: "store_loads_per_second",
        kind: Kind::Integer {
            min: 1,
            max: 10_000,
        },
        default: Some("3"),
        help: "loads that the weight store starts in a second",
    },
    Setting {
        key: "store_concurrency",
        kind: Kind::Integer {
            min: 1,
            max: 10_000,
        },
        default: Some("6"),
        help: "loads that the weight store serves together at full speed",
    },
    SOURCE_ADDRESS,
    ZONE,
    CLUSTER_KEY_FILE,
    LOG_LEVEL,
    LOG_FORMAT,
];

/// Settings of `courseshunt router`.
pub const ROUTER_TABLE: &[Setting] = &[
    Setting {
        key: "id",
        kind: Kind::Text,
        default: None,
        help: "name of the router",
    },
    Setting {
        key: "http_address",
        kind: Kind::Address,
        default: Some("127.0.0.1:8080"),
        help: "address for callers",
    },
    Setting {
        key: "wire_address",
        kind: Kind::Address,
        default: Some("127.0.0.1:8081"),
        help: "address for other processes of the cluster",
    },
    Setting {
        key: "advertised_address",
        kind: Kind::Address,
        default: Some(""),
        help: "address under which other processes reach the wire address; empty: the same",
    },
    Setting {
        key: "controllers",
        kind: Kind::Addresses,
        default: None,
        help: "wire addresses of controllers",
    },
    Setting {
        key: "max_connections",
        kind: Kind::Integer {
            min: 1,
            max: 1_000_000,
        },
        default: Some("20000"),
        help: "callers' connections at the most",
    },
    Setting {
        key: "max_body_bytes",
        kind: Kind::Integer {
            min: 1024,
            max: 67_108_864,
        },
        default: Some("1048576"),
        help: "longest request body, in bytes",
    },
    Setting {
        key: "max_waiting_bytes",
        kind: Kind::Integer {
            min: 1024,
            max: 17_179_869_184,
        },
        default: Some("268435456"),
        help: "bodies of waiting requests together at the most, in bytes",
    },
    Setting {
        key: "body_timeout_seconds",
        kind: Kind::Integer { min: 1, max: 3_600 },
        default: Some("30"),
        help: "longest time in which a request's body must arrive, in seconds",
    },
    Setting {
        key: "drain_seconds",
        kind: Kind::Integer {
            min: 1,
            max: 86_400,
        },
        default: Some("600"),
        help: "longest wait for running requests at a planned stop, in seconds",
    },
    SOURCE_ADDRESS,
    ZONE,
    CLUSTER_KEY_FILE,
    LOG_LEVEL,
    LOG_FORMAT,
];

/// Settings of `courseshunt-lab standin`: one stand-in runner.
pub const STANDIN_TABLE: &[Setting] = &[
    Setting {
        key: "id",
        kind: Kind::Text,
        default: None,
        help: "name of the runner",
    },
    Setting {
        key: "http_address",
        kind: Kind::Address,
        default: Some("127.0.0.1:9000"),
        help: "address of the runner",
    },
    Setting {
        key: "store_address",
        kind: Kind::Address,
        default: Some("127.0.0.1:7002"),
        help: "address of the weight store",
    },
    Setting {
        key: "memory_mib",
        kind: Kind::Integer {
            min: 1,
            max: u64::MAX,
        },
        default: Some("81920"),
        help: "accelerator memory, in MiB",
    },
    Setting {
        key: "runner_token_file",
        kind: Kind::Path,
        default: None,
        help: "file with the token for the control interface",
    },
    ZONE,
    LOG_LEVEL,
    LOG_FORMAT,
];

/// A member's wire address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerAddress {
    /// The member.
    pub id: ControllerId,
    /// Its wire address.
    pub address: SocketAddr,
}

/// Settings of a controller.
#[derive(Debug, Clone)]
pub struct ControllerSettings {
    /// Identity in the control group.
    pub id: ControllerId,
    /// Address of the operators' API.
    pub http_address: SocketAddr,
    /// Address for other processes.
    pub wire_address: SocketAddr,
    /// First voters of a new group.
    pub voters: Vec<PeerAddress>,
    /// Folder for durable state.
    pub data_folder: PathBuf,
    /// Address of the platform's list.
    pub platform_address: SocketAddr,
    /// File with operators' tokens.
    pub operator_token_file: PathBuf,
    /// File with the token for runners.
    pub runner_token_file: PathBuf,
    /// Name of the placement policy.
    pub policy: String,
    /// Loads that the weight store starts in a second.
    pub store_loads_per_second: u32,
    /// Loads that the weight store serves together at full speed.
    pub store_concurrency: u32,
    /// IP number that outgoing connections come from.
    pub source_address: Option<IpAddr>,
    /// Zone.
    pub zone: Zone,
    /// File with the cluster key.
    pub cluster_key_file: PathBuf,
    /// Logging.
    pub logging: LogSettings,
}

/// Settings of a router.
#[derive(Debug, Clone)]
pub struct RouterSettings {
    /// Name.
    pub id: RouterId,
    /// Address for callers.
    pub http_address: SocketAddr,
    /// Address for other processes.
    pub wire_address: SocketAddr,
    /// Address under which other processes reach the wire address.
    pub advertised_address: Option<SocketAddr>,
    /// Wire addresses of controllers.
    pub controllers: Vec<SocketAddr>,
    /// Callers' connections at the most.
    pub max_connections: usize,
    /// Longest request body, in bytes.
    pub max_body_bytes: usize,
    /// Bodies of waiting requests together, in bytes.
    pub max_waiting_bytes: usize,
    /// Longest time in which a request's body must arrive.
    pub body_timeout: Millis,
    /// Longest wait for running requests at a planned stop.
    pub drain: Millis,
    /// IP number that outgoing connections come from.
    pub source_address: Option<IpAddr>,
    /// Zone.
    pub zone: Zone,
    /// File with the cluster key.
    pub cluster_key_file: PathBuf,
    /// Logging.
    pub logging: LogSettings,
}

/// Settings of a stand-in runner.
#[derive(Debug, Clone)]
pub struct StandinSettings {
    /// Name.
    pub id: RunnerId,
    /// Address.
    pub http_address: SocketAddr,
    /// Address of the weight store.
    pub store_address: SocketAddr,
    /// Accelerator memory, in MiB.
    pub memory_mib: u64,
    /// File with the control token.
    pub runner_token_file: PathBuf,
    /// Zone.
    pub zone: Zone,
    /// Logging.
    pub logging: LogSettings,
}

/// Logging settings.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// Least important lines that are written.
    pub level: String,
    /// `text` or `json`.
    pub format: String,
}

impl LogSettings {
    pub(crate) fn of(values: &Values) -> Self {
        Self {
            level: values.text("log_level"),
            format: values.text("log_format"),
        }
    }
}

fn size(values: &Values, key: &str) -> usize {
    usize::try_from(values.integer(key)).unwrap_or(usize::MAX)
}

impl ControllerSettings {
    /// Reads settings file and flags.
    ///
    /// # Errors
    /// The first fault, with its place.
    pub fn load(arguments: &[String]) -> Result<Self, SettingsError> {
        let values = load(CONTROLLER_TABLE, arguments)?;
        let peers = values.peers("voters").into_iter();
        let voters = peers.map(|(id, address)| PeerAddress {
            id: ControllerId(id),
            address,
        });
        Ok(Self {
            id: ControllerId(values.integer("id")),
            http_address: values.address("http_address"),
            wire_address: values.address("wire_address"),
            voters: voters.collect(),
            data_folder: values.text("data_folder").into(),
            platform_address: values.address("platform_address"),
            operator_token_file: values.text("operator_token_file").into(),
            runner_token_file: values.text("runner_token_file").into(),
            policy: values.text("policy"),
            store_loads_per_second: values.small("store_loads_per_second"),
            store_concurrency: values.small("store_concurrency"),
            source_address: values.ip("source_address"),
            zone: values.text("zone").into(),
            cluster_key_file: values.text("cluster_key_file").into(),
            logging: LogSettings::of(&values),
        })
    }
}

impl RouterSettings {
    /// Reads settings file and flags.
    ///
    /// # Errors
    /// The first fault, with its place.
    pub fn load(arguments: &[String]) -> Result<Self, SettingsError> {
        let values = load(ROUTER_TABLE, arguments)?;
        Ok(Self {
            id: values.text("id").into(),
            http_address: values.address("http_address"),
            wire_address: values.address("wire_address"),
            advertised_address: values.optional_address("advertised_address"),
            controllers: values.addresses("controllers"),
            max_connections: size(&values, "max_connections"),
            max_body_bytes: size(&values, "max_body_bytes"),
            max_waiting_bytes: size(&values, "max_waiting_bytes"),
            body_timeout: Millis::from_secs(values.integer("body_timeout_seconds")),
            drain: Millis::from_secs(values.integer("drain_seconds")),
            source_address: values.ip("source_address"),
            zone: values.text("zone").into(),
            cluster_key_file: values.text("cluster_key_file").into(),
            logging: LogSettings::of(&values),
        })
    }
}

impl StandinSettings {
    /// Reads settings file and flags.
    ///
    /// # Errors
    /// The first fault, with its place.
    pub fn load(arguments: &[String]) -> Result<Self, SettingsError> {
        let values = load(STANDIN_TABLE, arguments)?;
        Ok(Self {
            id: values.text("id").into(),
            http_address: values.address("http_address"),
            store_address: values.address("store_address"),
            memory_mib: values.integer("memory_mib"),
            runner_token_file: values.text("runner_token_file").into(),
            zone: values.text("zone").into(),
            logging: LogSettings::of(&values),
        })
    }
}
