//! The reference page of all settings, written from their tables.

use crate::limit_variables::{LIMIT_VARIABLES, LimitVariable};
use crate::process::{CONTROLLER_TABLE, ROUTER_TABLE, STANDIN_TABLE};
use crate::standins::{PLATFORM_TABLE, STORE_TABLE};
use crate::table::Setting;
use std::fmt::Write;

/// Tables of all processes, with the command that reads each.
pub const PROCESS_TABLES: [(&str, &[Setting]); 5] = [
    ("courseshunt controller", CONTROLLER_TABLE),
    ("courseshunt router", ROUTER_TABLE),
    ("courseshunt-lab standin runner", STANDIN_TABLE),
    ("courseshunt-lab standin store", STORE_TABLE),
    ("courseshunt-lab standin platform", PLATFORM_TABLE),
];

const HEAD: &str = "# Settings

Written by `courseshunt settings-reference` from the table that also checks the
settings; do not edit.

Each process reads a TOML file (`--config FILE`); a flag overrides the file. A
flag has the key's name with `-` in place of `_`. A fault names the file and
line or the flag, the value and what is allowed, and ends the process with exit
code 2. `courseshunt check FILE` looks for the same faults without a start.
";

const SERVICE_LIMITS: &str = "
## Declared services: limits given by environment variables

A router or controller of declared services reads its name, addresses, times and limits from its settings file. These
limits are given by environment variables, because an older build ends at a key that it doesn't have and doesn't look
at variables. A variable that is absent or empty leaves the default. Any other value that is not allowed ends the
process at its start with exit code 1 and a line that names the variable, the value and what is allowed. `[limits]` of
the file may state the same limit by its key; the variable wins, also after the file was changed. Variables are read
once, at the start.

| variable | key | allowed | default | meaning |
|---|---|---|---|---|
";

const CROWDS_AT_CONTROLLERS: &str = "
### Crowds at a controller

The same limits bound the control address: bodies of calls take a quarter of `memory_mb`; connections are at
most 2,500, a third of `memory_mb` and two thirds of `max_open_files`.
";

/// The page, in Markdown.
#[must_use]
pub fn settings_reference() -> String {
    let mut page = HEAD.to_owned();
    for (command, table) in PROCESS_TABLES {
        // Writing into a string does not fail.
        let _ = write!(page, "\n## `{command}`\n\n");
        page.push_str("| key | allowed | default | meaning |\n|---|---|---|---|\n");
        for setting in table {
            page.push_str(&row(setting));
        }
    }
    page.push_str(SERVICE_LIMITS);
    for variable in LIMIT_VARIABLES {
        page.push_str(&variable_row(&variable));
    }
    page.push_str(CROWDS_AT_CONTROLLERS);
    page
}

fn row(setting: &Setting) -> String {
    let default = match setting.default {
        None => "must be given".to_owned(),
        Some("") => "empty".to_owned(),
        Some(value) => format!("`{value}`"),
    };
    let allowed = setting.kind.allowed();
    format!(
        "| `{}` | {allowed} | {default} | {} |\n",
        setting.key, setting.help
    )
}

fn variable_row(variable: &LimitVariable) -> String {
    format!(
        "| `{}` | `{}` | {} | `{}` | {} |\n",
        variable.name, variable.key, variable.allowed, variable.default, variable.help
    )
}
