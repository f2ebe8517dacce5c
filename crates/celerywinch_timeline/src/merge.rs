//! Merging the time lines of many processes.

use std::fs;
use std::path::Path;

use anyhow::Context;

use crate::TimelineRecord;

/// Which events are wanted; all without a part.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Events of this key.
    pub key: Option<String>,
    /// Events of this endpoint.
    pub endpoint: Option<String>,
}

impl Filter {
    /// Whether a line, in its JSON form, is wanted.
    fn wants(&self, json: &serde_json::Value) -> bool {
        let has = |wanted: &Option<String>, field: &str| {
            let wanted = wanted.as_deref();
            wanted.is_none_or(|wanted| json[field].as_str() == Some(wanted))
        };
        has(&self.key, "key") && has(&self.endpoint, "endpoint")
    }
}

/// Reads files and merges their lines in the order of the hybrid clock.
///
/// A last line that a process did not finish writing is passed over.
///
/// # Errors
///
/// A file cannot be read, or holds a line that is no event.
pub fn load_records(files: &[&Path], filter: &Filter) -> anyhow::Result<Vec<TimelineRecord>> {
    let mut records = Vec::new();
    for file in files {
        let text = fs::read_to_string(file);
        let text = text.with_context(|| format!("cannot read {}", file.display()))?;
        let whole = text.rsplit_once('\n').map_or("", |(whole, _)| whole);
        for (number, line) in whole.lines().enumerate() {
            let place = || format!("{}:{}: no event", file.display(), number + 1);
            let json: serde_json::Value = serde_json::from_str(line).with_context(place)?;
            if filter.wants(&json) {
                records.push(serde_json::from_value(json).with_context(place)?);
            }
        }
    }
    records.sort_by_key(|record: &TimelineRecord| (record.stamp.hlc, record.stamp.process));
    Ok(records)
}

/// The lines as text, with times from the first.
#[must_use]
pub fn render_text(records: &[TimelineRecord]) -> String {
    let first = records.first().map_or(0, |record| record.stamp.millis());
    let mut text = String::new();
    for record in records {
        let at = record.stamp.millis() - first;
        let instance = record.stamp.process.instance;
        text.push_str(&format!(
            "{at:>8} ms  {instance:<12} {}\n",
            describe(record)
        ));
    }
    text
}

/// An event in one line: its name, then its fields.
pub(crate) fn describe(record: &TimelineRecord) -> String {
    let json = serde_json::to_value(&record.event).unwrap_or_default();
    let mut text = record.event.name().to_owned();
    for (field, value) in json.as_object().into_iter().flatten() {
        if field == "event" {
            continue;
        }
        let value = value
            .as_str()
            .map_or_else(|| value.to_string(), ToOwned::to_owned);
        text.push_str(&format!(" {field}={value}"));
    }
    text
}
