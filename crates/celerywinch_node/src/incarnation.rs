//! Numbers for the lives of an instance.

use std::path::Path;

use anyhow::Context;
use celerywinch_store::{load_file, save_file};
use celerywinch_types::{Incarnation, WallMs};

/// The file with the last number, within the data folder.
const FILE: &str = "incarnation";

/// The number of a life that starts at `wall`: greater than that of every life before.
///
/// The wall clock alone gives a smaller number if it was set back meanwhile. Who has heard both knows the later one by its
/// links; who has not, as it has itself started again, goes by the number. With a data folder the last one is remembered;
/// without one only the clock is there to go by.
pub(crate) fn next(folder: Option<&Path>, wall: WallMs) -> anyhow::Result<Incarnation> {
    let Some(folder) = folder else {
        return Ok(Incarnation(wall.0));
    };
    let last: Option<u64> = load_file(folder, FILE).context("incarnation: cannot be read")?;
    let number = last.map_or(wall.0, |last| wall.0.max(last + 1));
    save_file(folder, FILE, &number).context("incarnation: cannot be saved")?;
    Ok(Incarnation(number))
}

#[cfg(test)]
#[path = "incarnation_tests.rs"]
mod tests;
