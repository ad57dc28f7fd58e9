//! Guards against an unnoticed change of types that are sent between processes or stored on disk:
//! a digest of all archived types is recorded together with the protocol version.

use courseshunt_types::Digest;
use courseshunt_wire::PROTOCOL_VERSION;
use std::path::Path;

/// Protocol version and digest of the archived types that belong together.
const EXPECTED: (u8, &str) = (10, "f73ac444941e6aee");

const ADVICE: &str = "An archived type has changed. If it is on the wire: take the next \
    PROTOCOL_VERSION, keep the types of the previous version in wire::previous_release, and \
    translate. If it is in the replicated state: keep the previous form in state::stored. New \
    commands are appended to their enum. If the form is the same (a rename, a move, a type that is \
    never sent or stored), say so in the commit. Then record the new digest here";

/// Adds the definitions of all archived types in a directory's sources, without comments and
/// spaces.
fn collect(directory: &Path, types: &mut Vec<String>) {
    let entries = std::fs::read_dir(directory).expect("read a source directory");
    for entry in entries {
        let path = entry.expect("read a directory entry").path();
        if path.is_dir() {
            collect(&path, types);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let source = std::fs::read_to_string(&path).expect("read a source file");
            types.extend(archived_types(&source));
        }
    }
}

/// Definitions of the archived types in a source.
fn archived_types(source: &str) -> Vec<String> {
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

/// The item at the beginning of a text, without spaces.
fn definition(text: &str) -> String {
    let mut depth = 0_usize;
    let mut item = String::new();
    for character in text.chars() {
        if !character.is_whitespace() {
            item.push(character);
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
    item
}

#[test]
fn archived_types_match_the_recorded_digest() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut types = Vec::new();
    for name in [
        "types",
        "consensus",
        "instance-load",
        "queue",
        "services",
        "state",
        "storage",
        "wire",
    ] {
        collect(&crates.join(name).join("src"), &mut types);
    }
    types.sort();
    assert!(
        types.len() > 100,
        "only {} archived types were found",
        types.len()
    );
    let digest = Digest::of(types.join("\n").as_bytes()).short();
    assert_eq!((PROTOCOL_VERSION, digest.as_str()), EXPECTED, "{ADVICE}");
}

#[test]
fn definitions_are_extracted_completely() {
    let source = "/// A {\n#[derive(Debug, rkyv::Archive)]\npub struct A {\n    /// x }\n    b: (u8, u16),\n}\n\
        #[derive(Debug)]\nstruct B;\n#[derive(rkyv::Archive)] pub struct C(pub u64);\nfn d() {}";
    assert_eq!(
        archived_types(source),
        ["pubstructA{b:(u8,u16),}", "pubstructC(pubu64);"]
    );
}
