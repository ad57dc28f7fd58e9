//! Strategies for inputs of parsers: good ones from a corpus, damaged.
//!
//! The tests beside this crate use a fixed seed, so that each run tries the
//! same inputs. `PROPTEST_CASES` and `PROPTEST_RNG_SEED` widen the search; an
//! input that fails is kept under `proptest-regressions` and tried first from
//! then on.

use proptest::collection::vec;
use proptest::prelude::{Strategy, any, prop_oneof};
use proptest::test_runner::{Config, RngSeed};
use std::path::Path;

/// Seed of the tests.
const SEED: u64 = 0x0c0f_fee0;
/// Edits of one input at the most.
const MAX_EDITS: usize = 4;
/// Longest random input, in bytes.
const MAX_RANDOM_BYTES: usize = 512;

/// Settings of a test that tries `cases` inputs.
#[must_use]
pub fn config(cases: u32) -> Config {
    let default = Config::default();
    let chosen = std::env::var_os("PROPTEST_CASES").is_some();
    let seeded = std::env::var_os("PROPTEST_RNG_SEED").is_some();
    Config {
        cases: if chosen { default.cases } else { cases },
        rng_seed: if seeded {
            default.rng_seed
        } else {
            RngSeed::Fixed(SEED)
        },
        ..default
    }
}

/// One edit of an input.
#[derive(Debug, Clone)]
pub enum Edit {
    /// Replaces the byte at a place.
    Replace(usize, u8),
    /// Inserts bytes at a place.
    Insert(usize, Vec<u8>),
    /// Removes bytes from a place on.
    Remove(usize, usize),
    /// Cuts the input off at a place.
    Cut(usize),
    /// Repeats bytes from a place on.
    Repeat(usize, usize),
}

/// Pieces that parsers tend to treat specially.
const PIECES: [&[u8]; 14] = [
    b"\"",
    b"\\u0000",
    b"{",
    b"}",
    b"[[",
    b"]]",
    b"\n",
    b"0",
    b"-1",
    b"99999999999999999999",
    b"1e999",
    b"null",
    b"{{ x }}",
    b"{%",
];

impl Edit {
    /// The edited input; places count modulo the length.
    #[must_use]
    pub fn apply(&self, mut input: Vec<u8>) -> Vec<u8> {
        let length = input.len().max(1);
        match self {
            Self::Replace(place, byte) => {
                if let Some(slot) = input.get_mut(place % length) {
                    *slot = *byte;
                }
            }
            Self::Insert(place, piece) => {
                let place = (place % length).min(input.len());
                input.splice(place..place, piece.iter().copied());
            }
            Self::Remove(place, count) => {
                let from = (place % length).min(input.len());
                let to = (from + count).min(input.len());
                input.drain(from..to);
            }
            Self::Cut(place) => input.truncate(place % length),
            Self::Repeat(place, count) => {
                let from = (place % length).min(input.len());
                let to = (from + count).min(input.len());
                let piece = input[from..to].to_vec();
                input.splice(from..from, piece);
            }
        }
        input
    }
}

fn edit() -> impl Strategy<Value = Edit> {
    let place = any::<usize>;
    let piece = prop_oneof![
        (0..PIECES.len()).prop_map(|number| PIECES[number].to_vec()),
        vec(any::<u8>(), 1..8),
    ];
    prop_oneof![
        (place(), any::<u8>()).prop_map(|(place, byte)| Edit::Replace(place, byte)),
        (place(), piece).prop_map(|(place, piece)| Edit::Insert(place, piece)),
        (place(), 1..64_usize).prop_map(|(place, count)| Edit::Remove(place, count)),
        place().prop_map(Edit::Cut),
        (place(), 1..64_usize).prop_map(|(place, count)| Edit::Repeat(place, count)),
    ]
}

/// Good inputs with some edits; now and then random bytes.
pub fn damaged(corpus: Vec<Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    let edited = (0..corpus.len(), vec(edit(), 1..=MAX_EDITS)).prop_map(move |(number, edits)| {
        let input = corpus[number].clone();
        edits.iter().fold(input, |input, edit| edit.apply(input))
    });
    prop_oneof![
        8 => edited,
        1 => vec(any::<u8>(), 0..MAX_RANDOM_BYTES),
    ]
}

/// The same as text; broken UTF-8 becomes replacement characters.
pub fn damaged_text(corpus: Vec<Vec<u8>>) -> impl Strategy<Value = String> {
    damaged(corpus).prop_map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
}

/// All files of a folder, in the order of their names.
///
/// # Panics
/// When the folder can't be read or is empty.
#[must_use]
pub fn corpus(folder: &Path) -> Vec<Vec<u8>> {
    let entries = std::fs::read_dir(folder).expect("the corpus can be read");
    let mut paths: Vec<_> = entries
        .filter_map(|entry| Some(entry.ok()?.path()))
        .collect();
    paths.sort();
    assert!(!paths.is_empty(), "{} is empty", folder.display());
    let read = |path| std::fs::read(path).expect("a file of the corpus can be read");
    paths.iter().map(read).collect()
}
