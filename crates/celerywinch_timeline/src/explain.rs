//! The history of one job from the structured logs of a fleet.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use serde_json::Value;

/// A line of a process's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Milliseconds since the Unix epoch, by the wall clock of the process.
    pub at_ms: u64,
    /// The process: its instance number, which is an IPv4 address.
    pub instance: u32,
    /// The name of the event.
    pub event: String,
    /// The whole line as JSON.
    pub json: Value,
}

/// Fields that [`LogLine::text`] leaves out or shows in another form.
const COMMON_FIELDS: [&str; 6] = ["at", "instance", "life", "part", "event", "job"];

impl LogLine {
    fn parse(text: &str) -> Option<Self> {
        // Log collectors may prepend a time and a name to the line.
        let start = text.find('{')?;
        let json: Value = serde_json::from_str(&text[start..]).ok()?;
        Some(Self {
            at_ms: json["at"].as_u64()?,
            instance: u32::try_from(json["instance"].as_u64()?).ok()?,
            event: json["event"].as_str()?.to_owned(),
            json,
        })
    }

    /// Returns the id of the job that the line is about, if any.
    fn job(&self) -> Option<u64> {
        let job_id = self.json["job"].as_u64();
        job_id.or_else(|| self.json["task"]["job"].as_u64())
    }

    /// Returns the line as text: the time, a `~` if the line is not about `job`, the process, the event and its
    /// other fields.
    #[must_use]
    pub fn text(&self, job: u64) -> String {
        let marker = if self.job() == Some(job) { ' ' } else { '~' };
        let process = Ipv4Addr::from(self.instance);
        let mut text = format!("{} {marker} {process} {}", self.at_ms, self.event);
        if let Some(fields) = self.json.as_object() {
            for (name, value) in fields
                .iter()
                .filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()))
            {
                text.push_str(&format!(" {name}={value}"));
            }
        }
        text
    }
}

/// Parses the lines of a log; ignores lines that are not structured log lines.
#[must_use]
pub fn parse_log(text: &str) -> Vec<LogLine> {
    text.lines().filter_map(LogLine::parse).collect()
}

/// Events of a process that may explain what happened to its jobs.
const CONTEXT_EVENTS: [&str; 8] = [
    "paused",
    "peer_lost",
    "acquired",
    "resigned",
    "worker_silent",
    "worker_aside",
    "worker_gone",
    "stopping",
];

/// Returns the lines about a job in order of time, together with the events of its processes and workers between the
/// first and the last of these lines.
#[must_use]
pub fn explain(job: u64, lines: &[LogLine]) -> Vec<&LogLine> {
    let job_lines: Vec<_> = lines
        .iter()
        .filter(|line| line.job() == Some(job))
        .collect();
    let first = job_lines.iter().map(|line| line.at_ms).min();
    let last = job_lines.iter().map(|line| line.at_ms).max();
    let (Some(first), Some(last)) = (first, last) else {
        return Vec::new();
    };
    let processes: BTreeSet<_> = job_lines.iter().map(|line| line.instance).collect();
    let workers: BTreeSet<_> = job_lines
        .iter()
        .filter_map(|l| l.json["worker"].as_str())
        .collect();
    let is_context = |line: &&LogLine| {
        let concurrent = (first..=last).contains(&line.at_ms) && processes.contains(&line.instance);
        let worker = line.json["worker"].as_str();
        let concerned = worker.is_none_or(|worker| workers.contains(worker));
        concurrent
            && concerned
            && line.job().is_none()
            && CONTEXT_EVENTS.contains(&line.event.as_str())
    };
    let mut related: Vec<&LogLine> = lines.iter().filter(is_context).collect();
    related.extend(job_lines);
    related.sort_by_key(|line| line.at_ms);
    related
}
