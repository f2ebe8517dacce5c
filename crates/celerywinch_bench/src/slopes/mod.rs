//! What control costs by number of instances, endpoints, open jobs and changes.
//!
//! `docs/CAPACITY.md` is worked out from the table that this prints. Heartbeats, announcements and
//! the spreading of catalogues are measured on the state machines with a virtual clock, so that a
//! few hundred instances fit one process; what needs a disk or sockets is measured on the real
//! thing.

mod control;
mod memory;
mod overhead;
mod real;
mod store;

use serde::Serialize;

/// One measured figure.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// What was measured.
    pub measure: &'static str,
    /// At which sizes.
    pub sizes: String,
    /// The figure.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
}

impl Row {
    fn new(measure: &'static str, sizes: String, value: f64, unit: &'static str) -> Self {
        Self {
            measure,
            sizes,
            value,
            unit,
        }
    }
}

/// Measures everything.
///
/// # Errors
///
/// The shipped catalogue has a fault, or a disk or socket cannot be used.
pub async fn run() -> anyhow::Result<Vec<Row>> {
    // Memory first: later on the allocator hands out what was used before.
    let mut rows = memory::measure()?;
    rows.extend(overhead::measure().await?);
    rows.extend(real::measure().await?);
    rows.extend(store::measure().await?);
    rows.extend(control::measure()?);
    Ok(rows)
}

/// Measures only what the whole path adds to a direct call.
///
/// # Errors
///
/// The cluster cannot be started.
pub async fn overhead() -> anyhow::Result<Vec<Row>> {
    overhead::measure().await
}

/// The rows as a table.
#[must_use]
pub fn table(rows: &[Row]) -> String {
    let mut text = String::new();
    for row in rows {
        let Row {
            measure,
            sizes,
            value,
            unit,
        } = row;
        text.push_str(&format!("{measure:<42} {sizes:<44} {value:>12.3} {unit}\n"));
    }
    text
}
