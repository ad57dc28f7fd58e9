//! Limits of a process of declared services that are given by environment variables.
//!
//! An older build refuses a settings file with a key that it doesn't have, but it doesn't look at
//! variables. A limit that is newer than the build in production is therefore given by a variable,
//! so that the file of either build starts the other one. A variable that is absent or empty leaves
//! the limit as the file states it, or at its default; a variable that is given wins over the file.

use crate::service::ServiceLimits;
use std::ffi::OsString;
use std::str::FromStr;

/// A limit that a variable gives, for the reference page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitVariable {
    /// Name of the variable.
    pub name: &'static str,
    /// Key of the same limit in `[limits]` of the settings file.
    pub key: &'static str,
    /// Values that are allowed.
    pub allowed: &'static str,
    /// Value where neither the variable nor the file states the limit.
    pub default: &'static str,
    /// What the limit is, with its unit.
    pub help: &'static str,
}

/// Memory of the process.
const MEMORY: LimitVariable = LimitVariable {
    name: "COURSESHUNT_MEMORY_MB",
    key: "memory_mb",
    allowed: ABOVE_ZERO,
    default: "256",
    help: "memory that the process may use, in MB; a quarter of it holds bodies, a third heads and connections",
};
/// Descriptors of the process.
const OPEN_FILES: LimitVariable = LimitVariable {
    name: "COURSESHUNT_MAX_OPEN_FILES",
    key: "max_open_files",
    allowed: "a whole number from 1",
    default: "4096",
    help: "descriptors that the process may open; a router's clients take at most half of them, a controller's callers two thirds, and at least 16 connections each",
};
/// Window of quotas.
const QUOTA_WINDOW: LimitVariable = LimitVariable {
    name: "COURSESHUNT_QUOTA_WINDOW_S",
    key: "quota_window_s",
    allowed: ABOVE_ZERO,
    default: "8",
    help: "window over which the use of tenants is judged, in seconds",
};
/// Relative tolerance of quotas.
const QUOTA_OVERSHOOT: LimitVariable = LimitVariable {
    name: "COURSESHUNT_QUOTA_OVERSHOOT",
    key: "quota_overshoot",
    allowed: FROM_ZERO,
    default: "0",
    help: "part of a tenant's limit that may be used beyond it in a window",
};
/// Absolute tolerance of quotas.
const QUOTA_SLACK: LimitVariable = LimitVariable {
    name: "COURSESHUNT_QUOTA_SLACK",
    key: "quota_slack",
    allowed: FROM_ZERO,
    default: "0",
    help: "units that may be used beyond a tenant's limit in a window",
};
/// Trust in keys without a leader.
const KEY_TRUST: LimitVariable = LimitVariable {
    name: "COURSESHUNT_KEY_TRUST_MS",
    key: "key_trust_ms",
    allowed: "a whole number from 0",
    default: "none",
    help: "time for which a router without a leader trusts the keys that it has, in ms; none: as long as it is alone",
};

const ABOVE_ZERO: &str = "a number above 0";
const FROM_ZERO: &str = "a number from 0";

/// All variables, in the order of the reference page.
pub const LIMIT_VARIABLES: [LimitVariable; 6] = [
    MEMORY,
    OPEN_FILES,
    QUOTA_WINDOW,
    QUOTA_OVERSHOOT,
    QUOTA_SLACK,
    KEY_TRUST,
];

/// A variable whose value is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("environment variable {variable} is `{value}`; allowed: {allowed}, or empty"))]
pub struct LimitVariableError {
    /// Name of the variable.
    pub variable: &'static str,
    /// Its value.
    pub value: String,
    /// Values that are allowed.
    pub allowed: &'static str,
}

/// Limits that the variables of a process give; `None` for each that is absent or empty.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct VariableLimits {
    memory_mb: Option<f64>,
    max_open_files: Option<usize>,
    quota_window_s: Option<f64>,
    quota_overshoot: Option<f64>,
    quota_slack: Option<f64>,
    key_trust_ms: Option<u64>,
}

impl VariableLimits {
    /// Reads the variables of this process.
    ///
    /// # Errors
    /// The first variable whose value is not allowed.
    pub fn of_process() -> Result<Self, LimitVariableError> {
        Self::read(std::env::var_os)
    }

    /// Reads the variables from `lookup`, which returns the value of a name.
    ///
    /// # Errors
    /// The first variable whose value is not allowed.
    pub fn read(
        lookup: impl Fn(&'static str) -> Option<OsString>,
    ) -> Result<Self, LimitVariableError> {
        let lookup = |variable: LimitVariable| {
            let value = lookup(variable.name).unwrap_or_default();
            GivenVariable { variable, value }
        };
        Ok(Self {
            memory_mb: lookup(MEMORY).parse(is_above_zero)?,
            max_open_files: lookup(OPEN_FILES).parse(|files| *files > 0)?,
            quota_window_s: lookup(QUOTA_WINDOW).parse(is_above_zero)?,
            quota_overshoot: lookup(QUOTA_OVERSHOOT).parse(is_from_zero)?,
            quota_slack: lookup(QUOTA_SLACK).parse(is_from_zero)?,
            key_trust_ms: lookup(KEY_TRUST).parse(|_| true)?,
        })
    }

    /// These limits over those of a settings file.
    #[must_use]
    pub fn over(&self, file: ServiceLimits) -> ServiceLimits {
        ServiceLimits {
            memory_mb: self.memory_mb.or(file.memory_mb),
            max_open_files: self.max_open_files.or(file.max_open_files),
            quota_window_s: self.quota_window_s.unwrap_or(file.quota_window_s),
            quota_overshoot: self.quota_overshoot.unwrap_or(file.quota_overshoot),
            quota_slack: self.quota_slack.unwrap_or(file.quota_slack),
            key_trust_ms: self.key_trust_ms.or(file.key_trust_ms),
            ..file
        }
    }
}

/// A variable with its value; an absent one is empty.
struct GivenVariable {
    variable: LimitVariable,
    value: OsString,
}

impl GivenVariable {
    fn parse<T: FromStr>(
        &self,
        is_allowed: impl Fn(&T) -> bool,
    ) -> Result<Option<T>, LimitVariableError> {
        if self.value.is_empty() {
            return Ok(None);
        }
        let parsed = self.value.to_str().and_then(|text| text.parse().ok());
        match parsed.filter(is_allowed) {
            Some(limit) => Ok(Some(limit)),
            None => Err(self.refuse()),
        }
    }

    fn refuse(&self) -> LimitVariableError {
        LimitVariableError {
            variable: self.variable.name,
            value: self.value.to_string_lossy().into_owned(),
            allowed: self.variable.allowed,
        }
    }
}

fn is_above_zero(number: &f64) -> bool {
    number.is_finite() && *number > 0.0
}

fn is_from_zero(number: &f64) -> bool {
    number.is_finite() && *number >= 0.0
}
