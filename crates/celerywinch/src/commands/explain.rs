//! `celerywinch explain`: the history of one job, from the logs of many processes.

use anyhow::{Context, bail};
use celerywinch_timeline::{explain, parse_log};

use super::{Command, parse};
use crate::ExitStatus;

pub(super) const COMMAND: Command = Command {
    name: "explain",
    summary: "Show the history of one job from the logs of many processes",
    run,
};

const USAGE: &str = "Usage: celerywinch explain [--json] ID FILE...\n\n\
    Shows the log lines about the job with this ID (16 hexadecimal digits) in order of time: the decisions\n\
    and the information they are based on. While the job is open, lines of its processes about each other\n\
    and about its workers are included. Text before the first `{` of a line is ignored.";

/// Number of hexadecimal digits of a job ID.
const ID_DIGITS: usize = 16;

fn run(arguments: &[String]) -> anyhow::Result<ExitStatus> {
    let mut options = getopts::Options::new();
    options.optflag("", "json", "print the log lines unchanged");
    let Some(matches) = parse(&mut options, USAGE, arguments)? else {
        return Ok(ExitStatus::Success);
    };
    let Some((id, files)) = matches.free.split_first() else {
        bail!("the ID of the job and at least one log file are required");
    };
    if files.is_empty() {
        bail!("at least one log file is required");
    }
    if id.len() != ID_DIGITS {
        bail!("`ID`: found {id:?}, wanted 16 hexadecimal digits");
    }
    let job = u64::from_str_radix(id, 16)
        .with_context(|| format!("`ID`: found {id:?}, wanted 16 hexadecimal digits"))?;
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read(file).with_context(|| format!("cannot read {file}"))?;
        lines.extend(parse_log(&String::from_utf8_lossy(&text)));
    }
    let history = explain(job, &lines);
    if history.is_empty() {
        println!(
            "No log line is about job {id}; under load, lines may be omitted (see `omitted`)."
        );
        return Ok(ExitStatus::Failure);
    }
    for line in history {
        if matches.opt_present("json") {
            println!("{}", line.json);
        } else {
            println!("{}", line.text(job));
        }
    }
    Ok(ExitStatus::Success)
}
