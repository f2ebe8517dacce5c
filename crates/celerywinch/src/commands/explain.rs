//! `celerywinch explain`: one job's story from the logs of many processes.

use anyhow::{Context, bail};
use celerywinch_timeline::{explain, parse_log};

use super::{Command, parse};
use crate::ExitStatus;

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "explain",
    summary: "Tell one job's story from the logs of many processes",
    run,
};

const BRIEF: &str = "Usage: celerywinch explain [--json] ID FILE...\n\n\
    Shows the lines about the job with this ID (16 hexadecimal digits) in order of time: who decided\n\
    what, on what knowledge. Lines of the processes that had the job, about each other and about its\n\
    workers, are shown too while the job is open. Text before a line's `{` is passed over.";

/// Digits of an ID.
const DIGITS: usize = 16;

fn run(arguments: &[String]) -> anyhow::Result<ExitStatus> {
    let mut options = getopts::Options::new();
    options.optflag("", "json", "print the lines as they were written");
    let Some(matches) = parse(&mut options, BRIEF, arguments)? else {
        return Ok(ExitStatus::Success);
    };
    let Some((id, files)) = matches.free.split_first() else {
        bail!("name the job's ID and at least one file");
    };
    if files.is_empty() {
        bail!("name at least one file with the logs of a process");
    }
    if id.len() != DIGITS {
        bail!("`ID`: found {id:?}, wanted 16 hexadecimal digits");
    }
    let job = u64::from_str_radix(id, 16)
        .with_context(|| format!("`ID`: found {id:?}, wanted 16 hexadecimal digits"))?;
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read(file).with_context(|| format!("cannot read {file}"))?;
        lines.extend(parse_log(&String::from_utf8_lossy(&text)));
    }
    let story = explain(job, &lines);
    if story.is_empty() {
        println!("No line is about job {id}; under load some are left out (see `omitted`).");
        return Ok(ExitStatus::Failure);
    }
    for line in story {
        if matches.opt_present("json") {
            println!("{}", line.json);
        } else {
            println!("{}", line.text(job));
        }
    }
    Ok(ExitStatus::Success)
}
