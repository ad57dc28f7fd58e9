//! Reads a settings file and flags against a table.

use crate::error::SettingsError;
use crate::locate::line_of_offset;
use crate::table::{MachineAddress, Setting, items, parse_machine, parse_peer};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

/// Where a value came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A line of a file.
    File {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
    },
    /// A flag.
    Flag(String),
    /// The table.
    Default,
}

impl std::fmt::Display for Origin {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::File { path, line } => write!(formatter, "{}:{line}", path.display()),
            Self::Flag(flag) => write!(formatter, "--{flag}"),
            Self::Default => formatter.write_str("default"),
        }
    }
}

/// Checked values by key.
#[derive(Debug, Clone, Default)]
pub struct Values {
    values: BTreeMap<&'static str, String>,
}

impl Values {
    /// A text or path.
    #[must_use]
    pub fn text(&self, key: &str) -> String {
        self.values.get(key).cloned().unwrap_or_default()
    }

    /// A whole number.
    #[must_use]
    pub fn integer(&self, key: &str) -> u64 {
        self.text(key).parse().unwrap_or_default()
    }

    /// A whole number; one that is too large becomes the largest.
    #[must_use]
    pub fn small(&self, key: &str) -> u32 {
        u32::try_from(self.integer(key)).unwrap_or(u32::MAX)
    }

    /// A list of machines.
    #[must_use]
    pub fn machines(&self, key: &str) -> Vec<MachineAddress> {
        items(&self.text(key)).filter_map(parse_machine).collect()
    }

    /// An address.
    #[must_use]
    pub fn address(&self, key: &str) -> SocketAddr {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        self.text(key).parse().unwrap_or(unset)
    }

    /// An IP number, if one is given.
    #[must_use]
    pub fn ip(&self, key: &str) -> Option<IpAddr> {
        self.text(key).parse().ok()
    }

    /// An address, if one is given.
    #[must_use]
    pub fn optional_address(&self, key: &str) -> Option<SocketAddr> {
        self.text(key).parse().ok()
    }

    /// A list of addresses.
    #[must_use]
    pub fn addresses(&self, key: &str) -> Vec<SocketAddr> {
        items(&self.text(key))
            .filter_map(|item| item.parse().ok())
            .collect()
    }

    /// A list of numbered addresses.
    #[must_use]
    pub fn peers(&self, key: &str) -> Vec<(u64, SocketAddr)> {
        items(&self.text(key)).filter_map(parse_peer).collect()
    }
}

/// Reads `--config FILE` and the flags of `table` from `arguments`.
///
/// # Errors
/// The first fault, with its place.
pub fn load(table: &'static [Setting], arguments: &[String]) -> Result<Values, SettingsError> {
    let matches = options(table).parse(arguments);
    let matches = matches.map_err(|error| SettingsError::Flags {
        problem: error.to_string(),
    })?;
    if let Some(extra) = matches.free.first() {
        let problem = format!("unexpected argument `{extra}`");
        return Err(SettingsError::Flags { problem });
    }
    let mut values = Values::default();
    if let Some(path) = matches.opt_str("config") {
        read_file(table, Path::new(&path), &mut values)?;
    }
    for setting in table {
        if let Some(value) = matches.opt_str(&setting.flag()) {
            check(setting, &value, &Origin::Flag(setting.flag()))?;
            values.values.insert(setting.key, value);
        }
    }
    fill_defaults(table, &mut values)?;
    Ok(values)
}

/// Help text of a process's flags.
#[must_use]
pub fn help_text(table: &'static [Setting], brief: &str) -> String {
    options(table).usage(brief)
}

fn options(table: &'static [Setting]) -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optopt("c", "config", "settings file (TOML)", "FILE");
    options.optflag("h", "help", "show this help");
    for setting in table {
        let help = match setting.default {
            Some("") | None => setting.help.to_owned(),
            Some(default) => format!("{} [default: {default}]", setting.help),
        };
        options.optopt("", &setting.flag(), &help, "VALUE");
    }
    options
}

fn check(setting: &Setting, value: &str, origin: &Origin) -> Result<(), SettingsError> {
    if setting.kind.accepts(value) {
        return Ok(());
    }
    Err(SettingsError::Value {
        origin: origin.to_string(),
        key: setting.key.to_owned(),
        value: value.to_owned(),
        allowed: setting.kind.allowed(),
    })
}

type SpannedTable = BTreeMap<toml::Spanned<String>, toml::Spanned<toml::Value>>;

fn read_file(
    table: &'static [Setting],
    path: &Path,
    values: &mut Values,
) -> Result<(), SettingsError> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|source| SettingsError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    let parsed: Result<SpannedTable, toml::de::Error> = toml::from_str(&text);
    let parsed = parsed.map_err(|error| SettingsError::Syntax {
        path: path.to_owned(),
        line: error
            .span()
            .map_or(1, |span| line_of_offset(&text, span.start)),
        problem: error.message().to_owned(),
    })?;
    for (key, value) in parsed {
        let origin = Origin::File {
            path: path.to_owned(),
            line: line_of_offset(&text, key.span().start),
        };
        let setting = table.iter().find(|setting| setting.key == key.get_ref());
        let Some(setting) = setting else {
            let keys: Vec<&str> = table.iter().map(|setting| setting.key).collect();
            return Err(SettingsError::UnknownKey {
                origin: origin.to_string(),
                key: key.into_inner(),
                known: keys.join(", "),
            });
        };
        let value = plain_text(value.get_ref());
        check(setting, &value, &origin)?;
        values.values.insert(setting.key, value);
    }
    Ok(())
}

fn plain_text(value: &toml::Value) -> String {
    match value {
        toml::Value::String(text) => text.clone(),
        toml::Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain_text).collect();
            items.join(",")
        }
        other => other.to_string(),
    }
}

fn fill_defaults(table: &'static [Setting], values: &mut Values) -> Result<(), SettingsError> {
    for setting in table {
        if values.values.contains_key(setting.key) {
            continue;
        }
        let Some(default) = setting.default else {
            return Err(SettingsError::Missing {
                key: setting.key.to_owned(),
                flag: setting.flag(),
            });
        };
        values.values.insert(setting.key, default.to_owned());
    }
    Ok(())
}
