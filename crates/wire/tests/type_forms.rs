//! What is agreed between processes or kept on disk does not change unseen: a digest of every
//! type that is archived stands beside the versions that it belongs to.

use courseshunt_types::Digest;
use courseshunt_wire::PROTOCOL_VERSION;
use std::path::Path;

/// The version of the protocol, and the types' digest.
const KNOWN: (u8, &str) = (6, "2507437eb3dcdeca");

const ADVICE: &str = "An archived type has changed. If it is on the wire: take the next \
    PROTOCOL_VERSION, keep the types of the version before in wire::previous_release, and translate. If it is \
    in the replicated state: keep the form before in state::stored. New commands go to the end of \
    their list. If the form is the same (a name, a move, a type that is never sent or kept), say so \
    in the commit. Then put the new digest here";

/// Adds the types of a folder's sources that are archived, without comments and spaces.
fn collect(folder: &Path, types: &mut Vec<String>) {
    let entries = std::fs::read_dir(folder).expect("a folder");
    for entry in entries {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect(&path, types);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let source = std::fs::read_to_string(&path).expect("a source");
            types.extend(archived(&source));
        }
    }
}

/// The definitions in a source that are archived.
fn archived(source: &str) -> Vec<String> {
    let lines = source
        .lines()
        .map(|line| line.split("//").next().unwrap_or_default());
    let code: String = lines.flat_map(|line| [line.trim(), "\n"]).collect();
    let mut found = Vec::new();
    for part in code.split("#[derive(").skip(1) {
        let Some((derived, rest)) = part.split_once(")]") else {
            continue;
        };
        if derived.contains("rkyv::Archive") {
            found.push(definition(rest));
        }
    }
    found
}

/// The item that a text begins with, without the spaces.
fn definition(text: &str) -> String {
    let mut depth = 0_usize;
    let mut taken = String::new();
    for character in text.chars() {
        if !character.is_whitespace() {
            taken.push(character);
        }
        match character {
            '{' | '(' => depth += 1,
            '}' | ')' => depth = depth.saturating_sub(1),
            _ => {}
        }
        let ends = depth == 0 && (character == '}' || character == ';');
        if ends {
            break;
        }
    }
    taken
}

#[test]
fn no_archived_type_changes_without_a_new_version() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut types = Vec::new();
    for name in [
        "types",
        "consensus",
        "queue",
        "services",
        "state",
        "storage",
        "wire",
    ] {
        collect(&crates.join(name).join("src"), &mut types);
    }
    types.sort();
    assert!(types.len() > 100, "{} types were found", types.len());
    let digest = Digest::of(types.join("\n").as_bytes()).short();
    assert_eq!((PROTOCOL_VERSION, digest.as_str()), KNOWN, "{ADVICE}");
}

#[test]
fn a_definition_is_taken_whole() {
    let source = "/// A {\n#[derive(Debug, rkyv::Archive)]\npub struct A {\n    /// x }\n    b: (u8, u16),\n}\n\
        #[derive(Debug)]\nstruct B;\n#[derive(rkyv::Archive)] pub struct C(pub u64);\nfn d() {}";
    assert_eq!(
        archived(source),
        ["pubstructA{b:(u8,u16),}", "pubstructC(pubu64);"]
    );
}
