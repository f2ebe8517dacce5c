//! Merging the time lines of many processes.

use std::fs;
use std::path::Path;

use anyhow::Context;

use crate::Line;

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
pub fn load(files: &[&Path], filter: &Filter) -> anyhow::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for file in files {
        let text = fs::read_to_string(file);
        let text = text.with_context(|| format!("cannot read {}", file.display()))?;
        let whole = text.rsplit_once('\n').map_or("", |(whole, _)| whole);
        for (number, line) in whole.lines().enumerate() {
            let place = || format!("{}:{}: no event", file.display(), number + 1);
            let json: serde_json::Value = serde_json::from_str(line).with_context(place)?;
            if filter.wants(&json) {
                lines.push(serde_json::from_value(json).with_context(place)?);
            }
        }
    }
    lines.sort_by_key(|line: &Line| (line.stamp.hlc, line.stamp.at));
    Ok(lines)
}

/// The lines as text, with times from the first.
#[must_use]
pub fn text(lines: &[Line]) -> String {
    let first = lines.first().map_or(0, |line| line.stamp.millis());
    let mut text = String::new();
    for line in lines {
        let at = line.stamp.millis() - first;
        let instance = line.stamp.at.instance;
        text.push_str(&format!("{at:>8} ms  {instance:<12} {}\n", describe(line)));
    }
    text
}

/// An event in one line: its name, then its fields.
pub(crate) fn describe(line: &Line) -> String {
    let json = serde_json::to_value(&line.event).unwrap_or_default();
    let mut text = line.event.name().to_owned();
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
