//! Hashes that are the same in all processes and versions.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns a hash that is the same in every process and every version.
#[must_use]
pub fn stable_hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns the rendezvous score of `candidate` for `item`. The candidate with the highest score owns the item.
#[must_use]
pub fn score(item: u64, candidate: u64) -> u64 {
    xxh3_64_with_seed(&item.to_le_bytes(), candidate)
}
