//! Merging and rendering of the time lines of many processes.

use std::fs;
use std::path::Path;

use anyhow::Context;

use crate::TimelineRecord;

/// Selects events; a field that is `None` matches all.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// The key of the events.
    pub key: Option<String>,
    /// The address of the endpoint of the events.
    pub endpoint: Option<String>,
}

impl Filter {
    /// Returns whether a record in JSON form matches.
    fn matches(&self, json: &serde_json::Value) -> bool {
        let has = |wanted: &Option<String>, field: &str| {
            let wanted = wanted.as_deref();
            wanted.is_none_or(|wanted| json[field].as_str() == Some(wanted))
        };
        has(&self.key, "key") && has(&self.endpoint, "endpoint")
    }
}

/// Reads files and merges their records in the order of the hybrid clock.
///
/// Ignores an incomplete last line, which a process had not finished writing.
///
/// # Errors
///
/// A file cannot be read, or contains a line that is not an event.
pub fn load_records(files: &[&Path], filter: &Filter) -> anyhow::Result<Vec<TimelineRecord>> {
    let mut records = Vec::new();
    for file in files {
        let text = fs::read_to_string(file);
        let text = text.with_context(|| format!("cannot read {}", file.display()))?;
        let complete_lines = text
            .rsplit_once('\n')
            .map_or("", |(complete_lines, _)| complete_lines);
        for (number, line) in complete_lines.lines().enumerate() {
            let context = || format!("{}:{}: not an event", file.display(), number + 1);
            let json: serde_json::Value = serde_json::from_str(line).with_context(context)?;
            if filter.matches(&json) {
                records.push(serde_json::from_value(json).with_context(context)?);
            }
        }
    }
    records.sort_by_key(|record: &TimelineRecord| (record.stamp.hlc, record.stamp.process));
    Ok(records)
}

/// Renders the records as text, with times relative to the first record.
#[must_use]
pub fn render_text(records: &[TimelineRecord]) -> String {
    let first = records.first().map_or(0, |record| record.stamp.millis());
    let mut text = String::new();
    for record in records {
        let elapsed = record.stamp.millis() - first;
        let instance = record.stamp.process.instance;
        text.push_str(&format!(
            "{elapsed:>8} ms  {instance:<12} {}\n",
            describe(record)
        ));
    }
    text
}

/// Returns an event as one line of text: its name, then its fields.
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
