//! Measures how control costs scale with the number of instances, endpoints, open jobs and changes.
//!
//! `docs/CAPACITY.md` is derived from the table that this prints. Heartbeats, announcements and catalogue
//! propagation are measured on the state machines with a virtual clock, so that hundreds of instances fit
//! in one process. Everything that needs a disk or sockets is measured on real instances and files.

mod control;
mod idle;
mod memory;
mod overhead;
mod store;

use serde::Serialize;

/// One measured value.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// What was measured.
    pub measure: &'static str,
    /// The sizes at which it was measured.
    pub sizes: String,
    /// The value.
    pub value: f64,
    /// The unit of the value.
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

/// Runs all measurements.
///
/// # Errors
///
/// Returns an error if the shipped catalogue is invalid, or if a disk or socket cannot be used.
pub async fn run() -> anyhow::Result<Vec<Row>> {
    // Memory is measured first, because later the allocator reuses memory that earlier measurements have freed.
    let mut rows = memory::measure()?;
    rows.extend(overhead::measure().await?);
    rows.extend(idle::measure().await?);
    rows.extend(store::measure().await?);
    rows.extend(control::measure()?);
    Ok(rows)
}

/// Measures only the latency that entries add to a direct call, and the processor time of a task start.
///
/// # Errors
///
/// Returns an error if the cluster cannot be started.
pub async fn overhead() -> anyhow::Result<Vec<Row>> {
    overhead::measure().await
}

/// Formats rows as a table.
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
