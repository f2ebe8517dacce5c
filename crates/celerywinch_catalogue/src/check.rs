//! Checks of a whole catalogue; all problems are reported at once.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use celerywinch_types::KindName;

use crate::{Class, Document, KindEntry};

/// The most tasks any kind may allow.
const MOST_TASKS: u32 = 1024;
/// The longest deadline any kind may allow, in milliseconds: records of keys outlive it.
const LONGEST_DEADLINE: u32 = 30_000;
/// The longest body any kind may allow, in bytes.
const LONGEST_BODY: u32 = 1 << 20;
/// The most kinds or teams.
const MOST_ENTRIES: usize = 4096;
/// The longest name, in bytes.
const LONGEST_NAME: usize = 64;

/// One thing wrong with a catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The field, as a path.
    pub field: String,
    /// What was found.
    pub found: String,
    /// What is wanted.
    pub wanted: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            field,
            found,
            wanted,
        } = self;
        write!(f, "{field}: found {found}, wanted {wanted}")
    }
}

/// A checked kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kind {
    /// Its name.
    pub name: KindName,
    /// Its class.
    pub class: Class,
    /// Whether running it again would do no harm.
    pub idempotent: bool,
    /// The shortest deadline allowed.
    pub min_deadline: Duration,
    /// The longest deadline allowed.
    pub max_deadline: Duration,
    /// The declared run time.
    pub run_time: Duration,
    /// The most tasks of one job.
    pub max_tasks: usize,
    /// The longest body of one task, in bytes.
    pub max_body: usize,
}

/// A checked team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: Arc<str>,
    /// Its slots in each data centre.
    pub quota: u32,
}

/// A catalogue that was checked as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalogue {
    version: u64,
    document: Document,
    kinds: BTreeMap<KindName, Kind>,
    teams: BTreeMap<Arc<str>, Team>,
}

impl Catalogue {
    /// Checks a document.
    ///
    /// # Errors
    ///
    /// All problems found.
    pub fn check(version: u64, document: Document) -> Result<Self, Vec<Problem>> {
        let mut problems = Vec::new();
        check_sizes(&document, &mut problems);
        for (name, entry) in &document.kinds {
            check_name("kinds", name, &mut problems);
            check_kind(name, entry, &mut problems);
        }
        for (name, entry) in &document.teams {
            check_name("teams", name, &mut problems);
            if entry.quota == 0 {
                let field = format!("teams.{name}.quota");
                problem(
                    &mut problems,
                    field,
                    "0",
                    "at least one slot; delete the team to refuse it",
                );
            }
        }
        if !problems.is_empty() {
            return Err(problems);
        }
        let kinds = document.kinds.iter().map(|(name, entry)| kind(name, entry));
        let kinds = kinds.map(|kind| (kind.name.clone(), kind)).collect();
        let teams = document.teams.iter().map(|(name, entry)| Team {
            name: name.as_str().into(),
            quota: entry.quota,
        });
        let teams = teams.map(|team| (team.name.clone(), team)).collect();
        Ok(Self {
            version,
            document,
            kinds,
            teams,
        })
    }

    /// The version; greater ones are later.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The document that was checked.
    #[must_use]
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// A kind.
    #[must_use]
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        self.kinds.get(name)
    }

    /// A team.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.get(name)
    }

    /// All kinds.
    pub fn kinds(&self) -> impl Iterator<Item = &Kind> {
        self.kinds.values()
    }
}

fn kind(name: &str, entry: &KindEntry) -> Kind {
    let millis = |ms: u32| Duration::from_millis(u64::from(ms));
    Kind {
        name: name.into(),
        class: entry.class,
        idempotent: entry.idempotent,
        min_deadline: millis(entry.deadline_ms.min),
        max_deadline: millis(entry.deadline_ms.max),
        run_time: millis(entry.run_ms),
        max_tasks: entry.max_tasks as usize,
        max_body: entry.max_body as usize,
    }
}

fn problem(problems: &mut Vec<Problem>, field: String, found: impl fmt::Display, wanted: &str) {
    problems.push(Problem {
        field,
        found: found.to_string(),
        wanted: wanted.into(),
    });
}

fn check_sizes(document: &Document, problems: &mut Vec<Problem>) {
    for (field, len) in [
        ("kinds", document.kinds.len()),
        ("teams", document.teams.len()),
    ] {
        if len > MOST_ENTRIES {
            let wanted = format!("at most {MOST_ENTRIES}");
            problem(problems, field.into(), len, &wanted);
        }
    }
}

fn check_name(family: &str, name: &str, problems: &mut Vec<Problem>) {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'_';
    if name.is_empty() || name.len() > LONGEST_NAME || !name.bytes().all(allowed) {
        let wanted = "1 to 64 of the characters a-z, 0-9, - and _";
        problem(
            problems,
            format!("{family}.{name}"),
            format!("{name:?}"),
            wanted,
        );
    }
}

fn check_kind(name: &str, entry: &KindEntry, problems: &mut Vec<Problem>) {
    let field = |suffix: &str| format!("kinds.{name}.{suffix}");
    if entry.owner.trim().is_empty() {
        problem(
            problems,
            field("owner"),
            "an empty text",
            "the name of whoever answers for it",
        );
    }
    let bounds = entry.deadline_ms;
    if bounds.min == 0 || bounds.min > bounds.max {
        let wanted = "at least 1 and at most `max`";
        problem(problems, field("deadline_ms.min"), bounds.min, wanted);
    }
    if bounds.max > LONGEST_DEADLINE {
        let wanted = format!("at most {LONGEST_DEADLINE}");
        problem(problems, field("deadline_ms.max"), bounds.max, &wanted);
    }
    if entry.run_ms == 0 || entry.run_ms > bounds.max {
        let wanted = "at least 1 and at most `deadline_ms.max`";
        problem(problems, field("run_ms"), entry.run_ms, wanted);
    }
    if entry.max_tasks == 0 || entry.max_tasks > MOST_TASKS {
        let wanted = format!("1 to {MOST_TASKS}");
        problem(problems, field("max_tasks"), entry.max_tasks, &wanted);
    }
    if entry.max_body == 0 || entry.max_body > LONGEST_BODY {
        let wanted = format!("1 to {LONGEST_BODY}");
        problem(problems, field("max_body"), entry.max_body, &wanted);
    }
}
