//! Incarnation numbers of an instance.

use std::path::Path;

use anyhow::Context;
use celerywinch_store::{load_file, save_file};
use celerywinch_types::{Incarnation, WallMs};

/// The file within the data folder that holds the last number.
const LAST_INCARNATION_FILE: &str = "incarnation";

/// Returns the number of the incarnation that starts at `wall`; it is greater than those of all earlier ones.
///
/// The wall clock alone gives a smaller number if it was set back in between. An instance that received messages from
/// both incarnations knows the later one by its links; one that did not, because it has itself restarted, compares the
/// numbers. The data folder stores the last number; without a data folder, the number follows the wall clock alone.
pub(crate) fn next(folder: Option<&Path>, wall: WallMs) -> anyhow::Result<Incarnation> {
    let Some(folder) = folder else {
        return Ok(Incarnation(wall.0));
    };
    let last: Option<u64> = load_file(folder, LAST_INCARNATION_FILE)
        .context("incarnation: cannot read the last number")?;
    let number = last.map_or(wall.0, |last| wall.0.max(last + 1));
    save_file(folder, LAST_INCARNATION_FILE, &number)
        .context("incarnation: cannot save the number")?;
    Ok(Incarnation(number))
}

#[cfg(test)]
#[path = "incarnation_tests.rs"]
mod tests;
