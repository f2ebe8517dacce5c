//! Validation of a whole catalogue; reports all problems at once.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use celerywinch_types::KindName;

use crate::{Class, Document, KindEntry};

/// Maximum for the `max_tasks` of a kind.
const MAX_TASKS: u32 = 1024;
/// Maximum deadline that a kind may allow, in milliseconds, so that the records of keys outlive it.
const MAX_DEADLINE_MS: u32 = 30_000;
/// Maximum for the `max_body` of a kind, in bytes.
const MAX_BODY_BYTES: u32 = 1 << 20;
/// Maximum number of kinds, and of teams.
const MAX_ENTRIES: usize = 4096;
/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// A problem in a catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The path of the field.
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

/// A kind of work from a checked catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kind {
    /// The name.
    pub name: KindName,
    /// The class.
    pub class: Class,
    /// Whether a task of the kind can be run again without harm.
    pub idempotent: bool,
    /// The shortest deadline that is allowed.
    pub min_deadline: Duration,
    /// The longest deadline that is allowed.
    pub max_deadline: Duration,
    /// The declared run time of one task.
    pub run_time: Duration,
    /// Maximum number of tasks in one job.
    pub max_tasks: usize,
    /// Maximum size of the body of one task, in bytes.
    pub max_body: usize,
}

/// A team from a checked catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// The name.
    pub name: Arc<str>,
    /// The number of slots in each data centre to which the team is entitled.
    pub quota: u32,
}

/// A catalogue that was validated as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalogue {
    version: u64,
    document: Document,
    kinds: BTreeMap<KindName, Kind>,
    teams: BTreeMap<Arc<str>, Team>,
}

impl Catalogue {
    /// Validates a document and returns it as a catalogue of this version.
    ///
    /// # Errors
    ///
    /// The document has problems; all of them are returned.
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
                add_problem(
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
        let kinds = document
            .kinds
            .iter()
            .map(|(name, entry)| build_kind(name, entry));
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

    /// Returns the version; later versions are greater.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the document that was validated.
    #[must_use]
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the kind with this name.
    #[must_use]
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        self.kinds.get(name)
    }

    /// Returns the team with this name.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.get(name)
    }

    /// Returns all kinds.
    pub fn kinds(&self) -> impl Iterator<Item = &Kind> {
        self.kinds.values()
    }
}

fn build_kind(name: &str, entry: &KindEntry) -> Kind {
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

fn add_problem(problems: &mut Vec<Problem>, field: String, found: impl fmt::Display, wanted: &str) {
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
        if len > MAX_ENTRIES {
            let wanted = format!("at most {MAX_ENTRIES}");
            add_problem(problems, field.into(), len, &wanted);
        }
    }
}

fn check_name(family: &str, name: &str, problems: &mut Vec<Problem>) {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'_';
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
        let wanted = "1 to 64 of the characters a-z, 0-9, - and _";
        add_problem(
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
        add_problem(
            problems,
            field("owner"),
            "an empty text",
            "the name of whoever answers for it",
        );
    }
    let bounds = entry.deadline_ms;
    if bounds.min == 0 || bounds.min > bounds.max {
        let wanted = "at least 1 and at most `max`";
        add_problem(problems, field("deadline_ms.min"), bounds.min, wanted);
    }
    if bounds.max > MAX_DEADLINE_MS {
        let wanted = format!("at most {MAX_DEADLINE_MS}");
        add_problem(problems, field("deadline_ms.max"), bounds.max, &wanted);
    }
    if entry.run_ms == 0 || entry.run_ms > bounds.max {
        let wanted = "at least 1 and at most `deadline_ms.max`";
        add_problem(problems, field("run_ms"), entry.run_ms, wanted);
    }
    if entry.max_tasks == 0 || entry.max_tasks > MAX_TASKS {
        let wanted = format!("1 to {MAX_TASKS}");
        add_problem(problems, field("max_tasks"), entry.max_tasks, &wanted);
    }
    if entry.max_body == 0 || entry.max_body > MAX_BODY_BYTES {
        let wanted = format!("1 to {MAX_BODY_BYTES}");
        add_problem(problems, field("max_body"), entry.max_body, &wanted);
    }
}
