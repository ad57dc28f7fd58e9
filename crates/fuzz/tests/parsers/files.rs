//! Settings, templates, documents, scenario and fault files.

use super::corpus;
use courseshunt_fuzz::{config, damaged, damaged_text};
use courseshunt_operator::{check_parameters, check_template, read_documents, render};
use courseshunt_settings::{ControllerSettings, RouterSettings, SettingsError, StandinSettings};
use courseshunt_standin::check::{check_faults, check_scenario};
use proptest::prelude::*;
use std::path::Path;

/// A template with unbounded loops could run for long; an edit of this length
/// can't make one from the corpus, but a huge range can.
const LARGEST_RANGE: &str = "9999";

fn names_its_place(error: &SettingsError) -> bool {
    let text = error.to_string();
    match error {
        SettingsError::Missing { .. } | SettingsError::Flags { .. } => true,
        SettingsError::Unreadable { .. } => text.contains("can't be read"),
        _ => text.contains("file.toml:"),
    }
}

proptest! {
    #![proptest_config(config(500))]

    #[test]
    fn settings(bytes in damaged(corpus("settings"))) {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("file.toml");
        std::fs::write(&file, bytes).unwrap();
        let arguments = ["--config".to_owned(), file.to_string_lossy().into_owned()];
        let errors = [
            ControllerSettings::load(&arguments).err(),
            RouterSettings::load(&arguments).err(),
            StandinSettings::load(&arguments).err(),
        ];
        for error in errors.iter().flatten() {
            prop_assert!(names_its_place(error), "{error}");
        }
    }

    #[test]
    fn documents(text in damaged_text(corpus("documents"))) {
        let path = Path::new("file.toml");
        match read_documents(path, &text) {
            Ok(batch) => {
                for document in &batch.deployment {
                    prop_assert!(document.validate().is_ok());
                }
            }
            Err(error) => prop_assert!(error.to_string().starts_with("file.toml:"), "{error}"),
        }
    }

    #[test]
    fn scenarios(text in damaged_text(corpus("scenario"))) {
        if let Err(error) = check_scenario(Path::new("file.toml"), &text) {
            prop_assert!(names_its_place(&error), "{error}");
        }
    }

    #[test]
    fn faults(text in damaged_text(corpus("faults"))) {
        if let Err(error) = check_faults(Path::new("file.toml"), &text) {
            prop_assert!(names_its_place(&error), "{error}");
        }
    }

    #[test]
    fn templates(text in damaged_text(corpus("template"))) {
        prop_assume!(!text.contains(LARGEST_RANGE));
        let folder = tempfile::tempdir().unwrap();
        let template = folder.path().join("template.toml");
        let parameters = folder.path().join("tenant.toml");
        std::fs::write(&template, &text).unwrap();
        let values = "tenant = \"t\"\nversion = 1\nloops = [\"a\"]\nhalls_per_loop = 2\njoints = [\"j\"]\nkinds = [\"k\"]\n";
        std::fs::write(&parameters, values).unwrap();
        let checked = check_template(&template, &text);
        if let Ok(rendered) = render(&template, &parameters) {
            prop_assert!(checked.is_ok(), "what renders passes the check");
            let _ = read_documents(&template, &rendered);
        }
    }

    #[test]
    fn parameters(text in damaged_text(vec![b"tenant = \"t\"\nversion = 1\ntoken_digests = []\n".to_vec()])) {
        if let Err(error) = check_parameters(Path::new("file.toml"), &text) {
            prop_assert!(error.to_string().starts_with("file.toml:"), "{error}");
        }
    }
}
