//! `celerywinch try`: runs sample jobs in one process, without further setup.

use std::path::PathBuf;

use celerywinch_bench::trial;
use ntex::rt::{DefaultRuntime, System};

use super::{Command, parse};
use crate::ExitStatus;

pub(super) const COMMAND: Command = Command {
    name: "try",
    summary: "Run sample jobs with entries and fake endpoints in this process",
    run,
};

const USAGE: &str = "Usage: celerywinch try [--timeline FOLDER]\n\n\
    Starts the entries of both example deployments and fake endpoints on loopback ports, submits\n\
    jobs that succeed, are resubmitted, are refused and fail, and shows each outcome.\n\
    Exits with 0 only if all invariants hold.";

fn run(arguments: &[String]) -> anyhow::Result<ExitStatus> {
    let mut options = getopts::Options::new();
    options.optopt("", "timeline", "write time lines to this folder", "FOLDER");
    let Some(matches) = parse(&mut options, USAGE, arguments)? else {
        return Ok(ExitStatus::Success);
    };
    let folder = matches.opt_str("timeline").map(PathBuf::from);
    let system = System::build().name("try").build(DefaultRuntime);
    let passed = system.block_on(trial::run(folder))?;
    Ok(if passed {
        ExitStatus::Success
    } else {
        ExitStatus::Failure
    })
}
