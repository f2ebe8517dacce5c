//! Which faults happen when.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// A fault, by the index of the entry it strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The process dies and comes back without memory after this many milliseconds.
    Kill(usize, u64),
    /// The process stands still for this many milliseconds.
    Freeze(usize, u64),
    /// Nothing passes between a data centre and the rest.
    CutCentre(usize),
    /// Nothing passes from one entry to another; the way back works.
    CutOneWay(usize, usize),
    /// All cuts end.
    Heal,
    /// A planned stop, and a new process afterwards.
    Stop(usize),
}

/// Draws the next fault.
pub(crate) fn draw(entries: usize, whole: bool, random: &mut ChaCha8Rng) -> Fault {
    let one = random.random_range(0..entries);
    let other = random.random_range(0..entries);
    let pause = random.random_range(10..3_000);
    if !whole && random.random_bool(0.5) {
        return Fault::Heal;
    }
    match random.random_range(0..10) {
        0..=2 => Fault::Kill(one, pause),
        3..=4 => Fault::Freeze(one, pause),
        5..=6 => Fault::CutCentre(one),
        7..=8 => Fault::CutOneWay(one, other),
        _ => Fault::Stop(one),
    }
}
