//! The reference page of all settings, written from their tables.

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
## Declared services: limits against crowds

In `[limits]` of the settings file of a router or controller of declared services, which names its
process, addresses and times as well.

| key | allowed | default | meaning |
|---|---|---|---|
| `memory_mb` | a number | `256` | memory that the process may use, in MB; a quarter of it holds bodies, a third heads and connections |
| `max_open_files` | a whole number | `4096` | descriptors that the process may open; a router's clients take at most half of them, a controller's callers two thirds, and at least 16 connections each |

### Crowds at a controller

The same keys bound the control address: bodies of calls take a quarter of `memory_mb`; connections are at
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
