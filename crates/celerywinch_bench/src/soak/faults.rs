//! The faults that a simulation injects.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// A fault, with the indices of the entries that it affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The process crashes, and restarts without its memory after this many milliseconds.
    Kill(usize, u64),
    /// The process is suspended for this many milliseconds.
    Freeze(usize, u64),
    /// The entry's data centre is partitioned from the others.
    CutCentre(usize),
    /// Messages from the first entry to the second are dropped; the opposite direction works.
    CutOneWay(usize, usize),
    /// All partitions end.
    Heal,
    /// The process drains and stops as planned, and a new one starts afterwards.
    Stop(usize),
}

/// Draws the next fault. While a partition exists (`connected` is false), half of the draws end it.
pub(crate) fn draw_fault(entries: usize, connected: bool, random: &mut ChaCha8Rng) -> Fault {
    let entry = random.random_range(0..entries);
    let other = random.random_range(0..entries);
    let pause_ms = random.random_range(10..3_000);
    if !connected && random.random_bool(0.5) {
        return Fault::Heal;
    }
    match random.random_range(0..10) {
        0..=2 => Fault::Kill(entry, pause_ms),
        3..=4 => Fault::Freeze(entry, pause_ms),
        5..=6 => Fault::CutCentre(entry),
        7..=8 => Fault::CutOneWay(entry, other),
        _ => Fault::Stop(entry),
    }
}
