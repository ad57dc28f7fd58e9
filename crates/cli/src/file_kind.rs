//! Tells what a file is from the names in it, also when it is faulty.

use courseshunt_settings::Setting;
use courseshunt_settings::process::{CONTROLLER_TABLE, ROUTER_TABLE, STANDIN_TABLE};

/// What a file is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileKind {
    /// Settings of a controller.
    Controller,
    /// Settings of a router.
    Router,
    /// Settings of a stand-in runner.
    Standin,
    /// Rendered documents.
    Documents,
    /// A template with placeholders.
    Template,
    /// A tenant's parameters.
    Tenant,
    /// A scenario of the laboratory.
    Scenario,
    /// A fault schedule of the laboratory.
    Faults,
}

/// All kinds, with the words of `--as`.
const WORDS: [(FileKind, &str); 8] = [
    (FileKind::Controller, "controller"),
    (FileKind::Router, "router"),
    (FileKind::Standin, "standin"),
    (FileKind::Documents, "documents"),
    (FileKind::Template, "template"),
    (FileKind::Tenant, "tenant"),
    (FileKind::Scenario, "scenario"),
    (FileKind::Faults, "faults"),
];

/// Tables by which documents and files of the laboratory are known.
const TABLE_NAMES: [(&str, FileKind); 7] = [
    ("deployment", FileKind::Documents),
    ("tenant", FileKind::Documents),
    ("removal", FileKind::Documents),
    ("runner_pool", FileKind::Scenario),
    ("family", FileKind::Scenario),
    ("traffic", FileKind::Scenario),
    ("fault", FileKind::Faults),
];

impl FileKind {
    /// The word for `--as`.
    #[must_use]
    pub fn word(self) -> &'static str {
        let found = WORDS.iter().find(|(kind, _)| *kind == self);
        found.map_or("", |(_, word)| word)
    }

    /// The kind that a word names.
    #[must_use]
    pub fn parse(word: &str) -> Option<Self> {
        let found = WORDS.iter().find(|(_, known)| *known == word);
        found.map(|(kind, _)| *kind)
    }

    /// All words.
    #[must_use]
    pub fn words() -> String {
        let words: Vec<&str> = WORDS.iter().map(|(_, word)| *word).collect();
        words.join(", ")
    }

    /// What `text` looks like; `None` when nothing in it tells.
    #[must_use]
    pub fn recognise(text: &str) -> Option<Self> {
        if text.contains("{{") || text.contains("{%") {
            return Some(Self::Template);
        }
        let mut tables = text.lines().filter_map(table_name);
        let by_table = tables.find_map(|name| {
            let found = TABLE_NAMES.iter().find(|(known, _)| *known == name);
            found.map(|(_, kind)| *kind)
        });
        by_table.or_else(|| by_keys(text))
    }
}

/// First part of the name in a line such as `[[name.part]]`.
fn table_name(line: &str) -> Option<&str> {
    let name = line.trim().strip_prefix('[')?.trim_start_matches('[');
    name.split([']', '.']).next().map(str::trim)
}

fn by_keys(text: &str) -> Option<FileKind> {
    let keys: Vec<&str> = text.lines().filter_map(key).collect();
    if keys.contains(&"tenant") {
        return Some(FileKind::Tenant);
    }
    let tables = [
        (FileKind::Controller, CONTROLLER_TABLE),
        (FileKind::Router, ROUTER_TABLE),
        (FileKind::Standin, STANDIN_TABLE),
    ];
    let count = |table: &[Setting]| {
        let known = |key: &&&str| table.iter().any(|setting| setting.key == **key);
        keys.iter().filter(known).count()
    };
    let mut counts = tables.map(|(kind, table)| (count(table), kind));
    counts.sort_by_key(|(count, _)| std::cmp::Reverse(*count));
    let clear = counts[0].0 > counts[1].0;
    clear.then_some(counts[0].1)
}

fn key(line: &str) -> Option<&str> {
    let line = line.trim();
    if line.starts_with('#') {
        return None;
    }
    let (key, _) = line.split_once('=')?;
    Some(key.trim())
}
