//! `celerywinch try`: runs the main job with nothing else set up.

use std::path::PathBuf;

use celerywinch_bench::trial;
use ntex::rt::{DefaultRuntime, System};

use super::{Command, parse};
use crate::ExitStatus;

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "try",
    summary: "Run the main job with entries and stand-in endpoints in this process",
    run,
};

const BRIEF: &str = "Usage: celerywinch try [--timeline FOLDER]\n\n\
    Starts the entries of both example deployments and stand-in endpoints on loopback ports,\n\
    submits jobs, a resubmission, a refusal and a failure, and shows each outcome.\n\
    Exits 0 only if all invariants held.";

fn run(arguments: &[String]) -> anyhow::Result<ExitStatus> {
    let mut options = getopts::Options::new();
    options.optopt("", "timeline", "write time lines to a folder", "FOLDER");
    let Some(matches) = parse(&mut options, BRIEF, arguments)? else {
        return Ok(ExitStatus::Success);
    };
    let folder = matches.opt_str("timeline").map(PathBuf::from);
    let system = System::build().name("try").build(DefaultRuntime);
    let held = system.block_on(trial::run(folder))?;
    Ok(if held {
        ExitStatus::Success
    } else {
        ExitStatus::Failure
    })
}
