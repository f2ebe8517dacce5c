//! Reading and checking files.

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

use crate::settings::{DEFAULT_BODY, DEFAULT_LIMITS, Secret};
use crate::{Instance, InstanceOptions, Options, Role, Settings, SettingsBuilder};

/// The shortest secret, in bytes.
const SHORTEST_SECRET: usize = 16;
/// The most HTTP threads.
const MOST_THREADS: usize = 64;
/// The shortest window: a key must outlive a resubmission or two.
const SHORTEST_WINDOW_MS: u64 = 1000;

/// One thing wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file.
    pub file: PathBuf,
    /// The line, from 1; 0 if it is not known.
    pub line: u64,
    /// What is wrong with which field, and what is wanted.
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

/// Why a file could not be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", list(.0))]
pub struct LoadError(pub Vec<Problem>);

fn list(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}

/// Collects the problems of one file.
struct Checker<'a> {
    file: &'a Path,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    fn add(&mut self, line: u64, text: String) {
        self.problems.push(Problem {
            file: self.file.to_owned(),
            line,
            text,
        });
    }

    fn wrong<T>(&mut self, at: &Spanned<T>, field: &str, found: &dyn fmt::Display, wanted: &str) {
        let line = at.referenced.line();
        self.add(line, format!("{field}: found {found}, wanted {wanted}"));
    }

    fn addr(&mut self, field: &str, text: &Spanned<String>) -> SocketAddr {
        text.value.parse().unwrap_or_else(|_| {
            let wanted = "an IP number and a port, such as 127.0.0.1:7001";
            self.wrong(text, field, &format!("{:?}", text.value), wanted);
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// All problems found.
pub fn load_settings(file: &Path) -> Result<Settings, LoadError> {
    let text = read(file)?;
    parse_settings(file, &text)
}

/// Checks the text of a settings file; paths in it are taken from the file's folder.
///
/// # Errors
///
/// All problems found.
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

/// Reads and checks a catalogue file.
///
/// # Errors
///
/// All problems found.
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

/// The line of a field's path: each part is looked for below the line of the part before.
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
    let me = check_me(checker, options, &instances);
    let callers = checker.addr("callers", &options.callers);
    let endpoints = checker.addr("endpoints", &options.endpoints);
    let operators = checker.addr("operators", &options.operators);
    let secret = check_secret(checker, &options.secret_file);
    let limits = check_limits(checker, options);
    let folder = |path: &Option<Spanned<String>>| {
        path.as_ref().map(|path| beside(checker.file, &path.value))
    };
    let (data, timeline) = (folder(&options.data_folder), folder(&options.timeline_file));
    let first = folder(&options.first_catalogue);
    check_roles(checker, options, me.as_ref());
    let threads = check_threads(checker, options);
    let body = options.limits.body_bytes.as_ref().map(|bytes| bytes.value);
    let builder = SettingsBuilder::new(me?, instances, secret?);
    let builder = builder.listen(callers, endpoints, operators);
    let builder = builder.data_folder(data).timeline_file(timeline);
    let builder = builder.first_catalogue(first).http_threads(threads);
    let builder = builder.limits(limits, body.unwrap_or(DEFAULT_BODY));
    Some(builder.build())
}

fn check_instance(checker: &mut Checker<'_>, options: &Options, one: &InstanceOptions) -> Instance {
    let name = &one.data_centre.value;
    let dc = options.data_centres.get(name).map(|number| number.value);
    if dc.is_none() {
        let wanted = "a name from `data_centres`";
        checker.wrong(
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
        peer_addr: checker.addr("instances.peers", &one.peers),
        keeper: one.keeper,
    }
}

fn check_unique(checker: &mut Checker<'_>, options: &Options) {
    let mut numbers = BTreeSet::new();
    let mut addrs = BTreeSet::new();
    for one in &options.instances {
        if !numbers.insert(one.instance.value) {
            let wanted = "a number that no other instance has";
            checker.wrong(
                &one.instance,
                "instances.instance",
                &one.instance.value,
                wanted,
            );
        }
        if !addrs.insert(&one.peers.value) {
            let wanted = "an address that no other instance has";
            checker.wrong(&one.peers, "instances.peers", &one.peers.value, wanted);
        }
    }
    let mut dcs = BTreeSet::new();
    for (name, number) in &options.data_centres {
        if !dcs.insert(number.value) {
            let field = format!("data_centres.{name}");
            let wanted = "a number that no other data centre has";
            checker.wrong(number, &field, &number.value, wanted);
        }
    }
}

fn check_me(
    checker: &mut Checker<'_>,
    options: &Options,
    instances: &[Instance],
) -> Option<Instance> {
    let id = InstanceId(options.instance.value.into());
    let me = instances.iter().find(|one| one.id == id).cloned();
    if me.is_none() {
        let wanted = "the number of one of `instances`";
        checker.wrong(
            &options.instance,
            "instance",
            &options.instance.value,
            wanted,
        );
    }
    me
}

fn check_secret(checker: &mut Checker<'_>, path: &Spanned<String>) -> Option<Secret> {
    let file = beside(checker.file, &path.value);
    match fs::read_to_string(&file) {
        Ok(text) if text.trim().len() >= SHORTEST_SECRET => Some(Secret::new(&text)),
        Ok(text) => {
            let found = format!("a secret of {} bytes", text.trim().len());
            checker.wrong(path, "secret_file", &found, "one of at least 16 bytes");
            None
        }
        Err(error) => {
            let found = format!("{:?} ({error})", path.value);
            checker.wrong(path, "secret_file", &found, "a file that can be read");
            None
        }
    }
}

fn check_limits(checker: &mut Checker<'_>, options: &Options) -> Limits {
    let limits = &options.limits;
    let span = |value: &Option<Spanned<u64>>, default: Duration| {
        let value = value.as_ref();
        value.map_or(default, |ms| Duration::from_millis(ms.value))
    };
    let checked = Limits {
        window: span(&limits.window_ms, DEFAULT_LIMITS.window),
        skew: span(&limits.skew_ms, DEFAULT_LIMITS.skew),
        retention: span(&limits.retention_ms, DEFAULT_LIMITS.retention),
    };
    if let Some(window) = &limits.window_ms
        && window.value < SHORTEST_WINDOW_MS
    {
        let wanted = "at least 1000, so that a resubmission still finds its key";
        checker.wrong(window, "limits.window_ms", &window.value, wanted);
    }
    if let Some(skew) = &limits.skew_ms
        && checked.skew * 2 > checked.window
    {
        let wanted = "at most half of `limits.window_ms`";
        checker.wrong(skew, "limits.skew_ms", &skew.value, wanted);
    }
    checked
}

fn check_roles(checker: &mut Checker<'_>, options: &Options, me: Option<&Instance>) {
    let keeper = options.roles.contains(&Role::Keeper);
    if !options.roles.contains(&Role::Entry) {
        let text = "roles: found no `entry`, wanted it; every instance is an entry today";
        checker.add(0, text.into());
    }
    if keeper && options.data_folder.is_none() {
        let text = "data_folder: found none, wanted one, for a keeper's log must last";
        checker.add(0, text.into());
    }
    if let Some(me) = me
        && me.keeper != keeper
    {
        let text = "roles: found other than `instances` says of `keeper`, wanted the same";
        checker.add(options.instance.referenced.line(), text.into());
    }
}

fn check_threads(checker: &mut Checker<'_>, options: &Options) -> Option<usize> {
    let threads = options.http_threads.as_ref()?;
    if threads.value == 0 || threads.value > MOST_THREADS {
        checker.wrong(threads, "http_threads", &threads.value, "1 to 64");
    }
    Some(threads.value)
}

/// A path of a file, seen from the folder of the settings.
fn beside(file: &Path, path: &str) -> PathBuf {
    file.parent().unwrap_or(Path::new(".")).join(path)
}

/// Checks the text of a catalogue.
///
/// # Errors
///
/// All problems found.
pub fn parse_catalogue(text: &str) -> Result<Document, LoadError> {
    check_catalogue(Path::new("catalogue"), text)
}
