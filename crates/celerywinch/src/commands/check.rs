//! `celerywinch check`: checks settings and catalogue files.

use std::path::Path;

use anyhow::bail;
use celerywinch_settings::{load_catalogue, load_settings};

use super::{Command, parse};
use crate::ExitStatus;

pub(super) const COMMAND: Command = Command {
    name: "check",
    summary: "Check settings and catalogue files",
    run,
};

const USAGE: &str = "Usage: celerywinch check FILE...\n\n\
    Checks settings and catalogue files and prints all problems with file and line.\n\
    A file with a top-level `kinds:` is checked as a catalogue, any other as settings.";

fn run(arguments: &[String]) -> anyhow::Result<ExitStatus> {
    let mut options = getopts::Options::new();
    let Some(matches) = parse(&mut options, USAGE, arguments)? else {
        return Ok(ExitStatus::Success);
    };
    if matches.free.is_empty() {
        bail!("at least one file is required");
    }
    let mut status = ExitStatus::Success;
    for file in &matches.free {
        let path = Path::new(file);
        let result = if is_catalogue(path) {
            load_catalogue(path).map(drop)
        } else {
            load_settings(path).map(drop)
        };
        match result {
            Ok(()) => println!("{file}: no problems found"),
            Err(error) => {
                println!("{error}");
                status = ExitStatus::Failure;
            }
        }
    }
    Ok(status)
}

fn is_catalogue(path: &Path) -> bool {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.lines().any(|line| line.starts_with("kinds:"))
}
