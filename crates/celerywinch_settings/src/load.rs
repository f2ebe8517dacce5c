//! Reading and validation of settings files and catalogue files.

use std::collections::BTreeSet;
use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use celerywinch_catalogue::{Catalogue, Document};
use celerywinch_claims::Limits;
use celerywinch_types::{DataCentreId, InstanceId};
use serde::de::DeserializeOwned;
use serde_saphyr::Spanned;
use thiserror::Error;

use crate::settings::{DEFAULT_BODY_BYTES, DEFAULT_LIMITS, Secret};
use crate::{Instance, InstanceOptions, Options, Role, Settings, SettingsBuilder};

/// Minimum length of the secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// Maximum number of HTTP threads.
const MAX_HTTP_THREADS: usize = 64;
/// Minimum window in milliseconds; a key must outlive one or two resubmissions.
const MIN_WINDOW_MS: u64 = 1000;

/// A problem in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file.
    pub file: PathBuf,
    /// The number of the line, starting from 1; 0 if it is unknown.
    pub line: u64,
    /// The field, what was found there and what is wanted.
    pub text: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        if self.line == 0 {
            return write!(f, "{file}: {}", self.text);
        }
        write!(f, "{file}:{}: {}", self.line, self.text)
    }
}

/// The problems because of which a file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", join_problems(.0))]
pub struct LoadError(pub Vec<Problem>);

fn join_problems(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}

/// Collects the problems of one file.
struct Checker<'a> {
    file: &'a Path,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    fn add_problem(&mut self, line: u64, text: String) {
        self.problems.push(Problem {
            file: self.file.to_owned(),
            line,
            text,
        });
    }

    fn add_mismatch<T>(
        &mut self,
        at: &Spanned<T>,
        field: &str,
        found: &dyn fmt::Display,
        wanted: &str,
    ) {
        let line = at.referenced.line();
        self.add_problem(line, format!("{field}: found {found}, wanted {wanted}"));
    }

    fn parse_addr(&mut self, field: &str, text: &Spanned<String>) -> SocketAddr {
        text.value.parse().unwrap_or_else(|_| {
            let wanted = "an IP number and a port, such as 127.0.0.1:7001";
            self.add_mismatch(text, field, &format!("{:?}", text.value), wanted);
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// The file cannot be used; all problems found are returned.
pub fn load_settings(file: &Path) -> Result<Settings, LoadError> {
    let text = read(file)?;
    parse_settings(file, &text)
}

/// Validates the text of a settings file. Relative paths in it are resolved against the file's folder.
///
/// # Errors
///
/// The text has problems; all of them are returned.
pub fn parse_settings(file: &Path, text: &str) -> Result<Settings, LoadError> {
    let options: Options = parse(file, text)?;
    let mut checker = Checker {
        file,
        problems: Vec::new(),
    };
    let settings = check(&mut checker, &options);
    match settings {
        Some(settings) if checker.problems.is_empty() => Ok(settings),
        _ => Err(LoadError(checker.problems)),
    }
}

/// Reads and validates a catalogue file.
///
/// # Errors
///
/// The file cannot be used; all problems found are returned.
pub fn load_catalogue(file: &Path) -> Result<Document, LoadError> {
    check_catalogue(file, &read(file)?)
}

fn check_catalogue(file: &Path, text: &str) -> Result<Document, LoadError> {
    let document: Document = parse(file, text)?;
    match Catalogue::check(1, document.clone()) {
        Ok(_) => Ok(document),
        Err(problems) => {
            let problems = problems.iter().map(|problem| Problem {
                file: file.to_owned(),
                line: line_of(text, &problem.field),
                text: problem.to_string(),
            });
            Err(LoadError(problems.collect()))
        }
    }
}

/// Returns the line of a field. Each part of its path is searched for from the line of the part before it.
fn line_of(text: &str, path: &str) -> u64 {
    let mut line = 0;
    for part in path.split('.') {
        let rest = text.lines().enumerate().skip(line);
        let wanted = format!("{part}:");
        let mut found = rest.filter(|(_, content)| {
            content.trim_start().starts_with(&wanted) || content.contains(&format!("{{{wanted}"))
        });
        match found.next() {
            Some((index, _)) => line = index,
            None => break,
        }
    }
    line as u64 + 1
}

fn read(file: &Path) -> Result<String, LoadError> {
    fs::read_to_string(file).map_err(|error| {
        LoadError(vec![Problem {
            file: file.to_owned(),
            line: 0,
            text: format!("cannot be read: {error}; check the path and its permissions"),
        }])
    })
}

fn parse<T: DeserializeOwned>(file: &Path, text: &str) -> Result<T, LoadError> {
    serde_saphyr::from_str(text).map_err(|error| {
        LoadError(vec![Problem {
            file: file.to_owned(),
            line: error.location().map_or(0, |at| at.line()),
            text: error.without_snippet().to_string(),
        }])
    })
}

fn check(checker: &mut Checker<'_>, options: &Options) -> Option<Settings> {
    let instances: Vec<_> = options
        .instances
        .iter()
        .map(|one| check_instance(checker, options, one))
        .collect();
    check_unique(checker, options);
    let me = find_own_instance(checker, options, &instances);
    let callers = checker.parse_addr("callers", &options.callers);
    let endpoints = checker.parse_addr("endpoints", &options.endpoints);
    let operators = checker.parse_addr("operators", &options.operators);
    let secret = check_secret(checker, &options.secret_file);
    let limits = check_limits(checker, options);
    let resolve = |path: &Option<Spanned<String>>| {
        path.as_ref()
            .map(|path| resolve_path(checker.file, &path.value))
    };
    let (data_folder, timeline_file) = (
        resolve(&options.data_folder),
        resolve(&options.timeline_file),
    );
    let first = resolve(&options.first_catalogue);
    check_roles(checker, options, me.as_ref());
    let threads = check_threads(checker, options);
    let body = options.limits.body_bytes.as_ref().map(|bytes| bytes.value);
    let builder = SettingsBuilder::new(me?, instances, secret?);
    let builder = builder.listen(callers, endpoints, operators);
    let builder = builder
        .data_folder(data_folder)
        .timeline_file(timeline_file);
    let builder = builder.first_catalogue(first).http_threads(threads);
    let builder = builder.limits(limits, body.unwrap_or(DEFAULT_BODY_BYTES));
    Some(builder.build())
}

fn check_instance(checker: &mut Checker<'_>, options: &Options, one: &InstanceOptions) -> Instance {
    let name = &one.data_centre.value;
    let dc = options.data_centres.get(name).map(|number| number.value);
    if dc.is_none() {
        let wanted = "a name from `data_centres`";
        checker.add_mismatch(
            &one.data_centre,
            "instances.data_centre",
            &format!("{name:?}"),
            wanted,
        );
    }
    Instance {
        id: InstanceId(one.instance.value.into()),
        dc: DataCentreId(dc.unwrap_or(0)),
        dc_name: name.clone(),
        peer_addr: checker.parse_addr("instances.peers", &one.peers),
        keeper: one.keeper,
    }
}

fn check_unique(checker: &mut Checker<'_>, options: &Options) {
    let mut numbers = BTreeSet::new();
    let mut addrs = BTreeSet::new();
    for one in &options.instances {
        if !numbers.insert(one.instance.value) {
            let wanted = "a number that no other instance has";
            checker.add_mismatch(
                &one.instance,
                "instances.instance",
                &one.instance.value,
                wanted,
            );
        }
        if !addrs.insert(&one.peers.value) {
            let wanted = "an address that no other instance has";
            checker.add_mismatch(&one.peers, "instances.peers", &one.peers.value, wanted);
        }
    }
    let mut dcs = BTreeSet::new();
    for (name, number) in &options.data_centres {
        if !dcs.insert(number.value) {
            let field = format!("data_centres.{name}");
            let wanted = "a number that no other data centre has";
            checker.add_mismatch(number, &field, &number.value, wanted);
        }
    }
}

fn find_own_instance(
    checker: &mut Checker<'_>,
    options: &Options,
    instances: &[Instance],
) -> Option<Instance> {
    let id = InstanceId(options.instance.value.into());
    let me = instances.iter().find(|one| one.id == id).cloned();
    if me.is_none() {
        let wanted = "the number of one of `instances`";
        checker.add_mismatch(
            &options.instance,
            "instance",
            &options.instance.value,
            wanted,
        );
    }
    me
}

fn check_secret(checker: &mut Checker<'_>, path: &Spanned<String>) -> Option<Secret> {
    let file = resolve_path(checker.file, &path.value);
    match fs::read_to_string(&file) {
        Ok(text) if text.trim().len() >= MIN_SECRET_BYTES => Some(Secret::new(&text)),
        Ok(text) => {
            let found = format!("a secret of {} bytes", text.trim().len());
            checker.add_mismatch(path, "secret_file", &found, "one of at least 16 bytes");
            None
        }
        Err(error) => {
            let found = format!("{:?} ({error})", path.value);
            checker.add_mismatch(path, "secret_file", &found, "a file that can be read");
            None
        }
    }
}

fn check_limits(checker: &mut Checker<'_>, options: &Options) -> Limits {
    let limits = &options.limits;
    let duration = |value: &Option<Spanned<u64>>, default: Duration| {
        let value = value.as_ref();
        value.map_or(default, |ms| Duration::from_millis(ms.value))
    };
    let checked = Limits {
        window: duration(&limits.window_ms, DEFAULT_LIMITS.window),
        skew: duration(&limits.skew_ms, DEFAULT_LIMITS.skew),
        retention: duration(&limits.retention_ms, DEFAULT_LIMITS.retention),
    };
    if let Some(window) = &limits.window_ms
        && window.value < MIN_WINDOW_MS
    {
        let wanted = "at least 1000, so that a resubmission still finds its key";
        checker.add_mismatch(window, "limits.window_ms", &window.value, wanted);
    }
    if let Some(skew) = &limits.skew_ms
        && checked.skew * 2 > checked.window
    {
        let wanted = "at most half of `limits.window_ms`";
        checker.add_mismatch(skew, "limits.skew_ms", &skew.value, wanted);
    }
    checked
}

fn check_roles(checker: &mut Checker<'_>, options: &Options, me: Option<&Instance>) {
    let keeper = options.roles.contains(&Role::Keeper);
    if !options.roles.contains(&Role::Entry) {
        let text = "roles: found no `entry`, wanted it; every instance is an entry today";
        checker.add_problem(0, text.into());
    }
    if keeper && options.data_folder.is_none() {
        let text = "data_folder: found none, wanted one, because a keeper stores its log there";
        checker.add_problem(0, text.into());
    }
    if let Some(me) = me
        && me.keeper != keeper
    {
        let text = "roles: found a `keeper` role that differs from `instances`, wanted the same";
        checker.add_problem(options.instance.referenced.line(), text.into());
    }
}

fn check_threads(checker: &mut Checker<'_>, options: &Options) -> Option<usize> {
    let threads = options.http_threads.as_ref()?;
    if threads.value == 0 || threads.value > MAX_HTTP_THREADS {
        checker.add_mismatch(threads, "http_threads", &threads.value, "1 to 64");
    }
    Some(threads.value)
}

/// Resolves a path against the folder of a file.
fn resolve_path(file: &Path, path: &str) -> PathBuf {
    file.parent().unwrap_or(Path::new(".")).join(path)
}

/// Validates the text of a catalogue.
///
/// # Errors
///
/// The text has problems; all of them are returned.
pub fn parse_catalogue(text: &str) -> Result<Document, LoadError> {
    check_catalogue(Path::new("catalogue"), text)
}
