//! The committed reference page is the one that the tables give.
//!
//! `COURSESHUNT_REGENERATE=1 cargo test -p courseshunt-settings` writes it anew.

use courseshunt_settings::reference::{PROCESS_TABLES, settings_reference};
use std::path::Path;

#[test]
fn the_committed_page_is_up_to_date() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let page = settings_reference();
    if std::env::var_os("COURSESHUNT_REGENERATE").is_some() {
        std::fs::write(&path, &page).unwrap();
    }
    let committed = std::fs::read_to_string(&path).unwrap();
    assert!(
        committed == page,
        "docs/SETTINGS.md is stale; run `courseshunt settings-reference > docs/SETTINGS.md`"
    );
}

#[test]
fn every_setting_has_a_line_and_a_default_that_is_allowed() {
    let page = settings_reference();
    for (command, table) in PROCESS_TABLES {
        assert!(page.contains(&format!("## `{command}`")));
        for setting in table {
            assert!(
                page.contains(&format!("| `{}` |", setting.key)),
                "{}",
                setting.key
            );
            let default = setting.default.filter(|default| !default.is_empty());
            let allowed = default.is_none_or(|default| setting.kind.accepts(default));
            assert!(allowed, "{command}: default of {}", setting.key);
        }
    }
}
