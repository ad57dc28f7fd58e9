//! Settings of the stand-ins of the weight store and the platform.

use crate::error::SettingsError;
use crate::load::load;
use crate::process::{LOG_FORMAT, LOG_LEVEL, LogSettings};
use crate::table::{Kind, MachineAddress, Setting};
use std::net::SocketAddr;

/// Settings of `courseshunt-lab standin store`.
pub const STORE_TABLE: &[Setting] = &[
    Setting {
        key: "http_address",
        kind: Kind::Address,
        default: Some("127.0.0.1:7002"),
        help: "address of the weight store",
    },
    Setting {
        key: "loads_per_second",
        kind: Kind::Integer {
            min: 1,
            max: 10_000,
        },
        default: Some("3"),
        help: "transfers that may start in a second",
    },
    Setting {
        key: "concurrency",
        kind: Kind::Integer {
            min: 1,
            max: 10_000,
        },
        default: Some("6"),
        help: "transfers that run together at full speed",
    },
    Setting {
        key: "transfer_mib_per_second",
        kind: Kind::Integer {
            min: 1,
            max: 1_000_000,
        },
        default: Some("1024"),
        help: "speed of one transfer, in MiB per second",
    },
    LOG_LEVEL,
    LOG_FORMAT,
];

/// Settings of `courseshunt-lab standin platform`.
pub const PLATFORM_TABLE: &[Setting] = &[
    Setting {
        key: "http_address",
        kind: Kind::Address,
        default: Some("127.0.0.1:7000"),
        help: "address of the platform's list of machines",
    },
    Setting {
        key: "machines",
        kind: Kind::Machines,
        default: Some(""),
        help: "live machines as runner=ip:port=zone, separated by commas",
    },
    LOG_LEVEL,
    LOG_FORMAT,
];

/// Settings of the weight store's stand-in.
#[derive(Debug, Clone)]
pub struct StoreSettings {
    /// Address.
    pub http_address: SocketAddr,
    /// Transfers that may start in a second.
    pub loads_per_second: u32,
    /// Transfers that run together at full speed.
    pub concurrency: u32,
    /// Speed of one transfer, in MiB per second.
    pub transfer_mib_per_second: u32,
    /// Logging.
    pub logging: LogSettings,
}

/// Settings of the platform's stand-in.
#[derive(Debug, Clone)]
pub struct PlatformListSettings {
    /// Address.
    pub http_address: SocketAddr,
    /// Live machines.
    pub machines: Vec<MachineAddress>,
    /// Logging.
    pub logging: LogSettings,
}

impl StoreSettings {
    /// Reads settings file and flags.
    ///
    /// # Errors
    /// The first fault, with its place.
    pub fn load(arguments: &[String]) -> Result<Self, SettingsError> {
        let values = load(STORE_TABLE, arguments)?;
        Ok(Self {
            http_address: values.address("http_address"),
            loads_per_second: values.small("loads_per_second"),
            concurrency: values.small("concurrency"),
            transfer_mib_per_second: values.small("transfer_mib_per_second"),
            logging: LogSettings::of(&values),
        })
    }
}

impl PlatformListSettings {
    /// Reads settings file and flags.
    ///
    /// # Errors
    /// The first fault, with its place.
    pub fn load(arguments: &[String]) -> Result<Self, SettingsError> {
        let values = load(PLATFORM_TABLE, arguments)?;
        Ok(Self {
            http_address: values.address("http_address"),
            machines: values.machines("machines"),
            logging: LogSettings::of(&values),
        })
    }
}
