//! Hashes of a prompt's leading blocks, by which prompts with the same
//! beginning are recognised.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of one block: sixteen tokens of about four bytes.
pub const BLOCK_BYTES: usize = 64;
/// Blocks of a prompt that are hashed; more would make tickets longer.
pub const MAX_BLOCKS: usize = 16;

/// Members of a request's body that hold the prompt.
const PROMPT_MEMBERS: [&[u8]; 2] = [b"\"messages\"", b"\"prompt\""];

/// The hashes of the leading whole blocks of the prompt in a request's body, or
/// of the body when no prompt is found. Each covers its block and all before
/// it.
#[must_use]
pub fn prompt_blocks(body: &[u8]) -> Vec<u64> {
    let begin = PROMPT_MEMBERS.iter().find_map(|member| find(body, member));
    let prompt = &body[begin.unwrap_or(0)..];
    let blocks = prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    let hashes = blocks.scan(0, |before, block| {
        *before = xxh3_64_with_seed(block, *before);
        Some(*before)
    });
    hashes.collect()
}

fn find(text: &[u8], wanted: &[u8]) -> Option<usize> {
    text.windows(wanted.len())
        .position(|window| window == wanted)
}
