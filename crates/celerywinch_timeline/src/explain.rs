//! One job's story from the structured logs of a fleet.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use serde_json::Value;

/// A line of a process's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Ms since 1970, by the process's clock.
    pub at_ms: u64,
    /// Which process.
    pub instance: u32,
    /// What happened.
    pub event: String,
    /// The whole line.
    pub json: Value,
}

/// Fields that every line has; they are not repeated in texts.
const HEAD: [&str; 6] = ["at", "instance", "life", "part", "event", "job"];

impl LogLine {
    fn read(text: &str) -> Option<Self> {
        // Whoever collects the logs may put a time and a name before the line.
        let start = text.find('{')?;
        let json: Value = serde_json::from_str(&text[start..]).ok()?;
        Some(Self {
            at_ms: json["at"].as_u64()?,
            instance: u32::try_from(json["instance"].as_u64()?).ok()?,
            event: json["event"].as_str()?.to_owned(),
            json,
        })
    }

    /// The job that it is about, if it is about one.
    fn job(&self) -> Option<u64> {
        let own = self.json["job"].as_u64();
        own.or_else(|| self.json["task"]["job"].as_u64())
    }

    /// The line as text, with the time, the process, and what decided.
    #[must_use]
    pub fn text(&self, job: u64) -> String {
        let mine = if self.job() == Some(job) { ' ' } else { '~' };
        let process = Ipv4Addr::from(self.instance);
        let mut text = format!("{} {mine} {process} {}", self.at_ms, self.event);
        if let Some(fields) = self.json.as_object() {
            for (name, value) in fields
                .iter()
                .filter(|(name, _)| !HEAD.contains(&name.as_str()))
            {
                text.push_str(&format!(" {name}={value}"));
            }
        }
        text
    }
}

/// Reads the lines of a log; what is no line of it is passed over.
#[must_use]
pub fn parse_log(text: &str) -> Vec<LogLine> {
    text.lines().filter_map(LogLine::read).collect()
}

/// Events of a process that may explain what became of its jobs.
const AROUND: [&str; 8] = [
    "paused",
    "peer_lost",
    "acquired",
    "resigned",
    "worker_silent",
    "worker_aside",
    "worker_gone",
    "stopping",
];

/// The lines about a job, in order of time, with those about its processes and workers meanwhile.
#[must_use]
pub fn explain(job: u64, lines: &[LogLine]) -> Vec<&LogLine> {
    let own: Vec<_> = lines
        .iter()
        .filter(|line| line.job() == Some(job))
        .collect();
    let first = own.iter().map(|line| line.at_ms).min();
    let last = own.iter().map(|line| line.at_ms).max();
    let (Some(first), Some(last)) = (first, last) else {
        return Vec::new();
    };
    let processes: BTreeSet<_> = own.iter().map(|line| line.instance).collect();
    let workers: BTreeSet<_> = own
        .iter()
        .filter_map(|l| l.json["worker"].as_str())
        .collect();
    let around = |line: &&LogLine| {
        let meanwhile = (first..=last).contains(&line.at_ms) && processes.contains(&line.instance);
        let worker = line.json["worker"].as_str();
        let concerned = worker.is_none_or(|worker| workers.contains(worker));
        meanwhile && concerned && line.job().is_none() && AROUND.contains(&line.event.as_str())
    };
    let mut story: Vec<&LogLine> = lines.iter().filter(around).collect();
    story.extend(own);
    story.sort_by_key(|line| line.at_ms);
    story
}
