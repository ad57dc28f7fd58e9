//! Every parser of input takes damaged input without a panic, refuses what is
//! not whole, and changes nothing by a refusal.

mod callers;
mod files;
mod operators;
mod storage;
mod wire;

use std::path::{Path, PathBuf};

/// Good inputs of one parser.
fn corpus(name: &str) -> Vec<Vec<u8>> {
    courseshunt_fuzz::corpus(&corpus_folder(name))
}

fn corpus_folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/corpus")
        .join(name)
}
