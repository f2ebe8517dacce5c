//! `celerywinch timeline`: merges the time lines of many processes.

use std::path::Path;

use anyhow::{Context, bail};
use celerywinch_timeline::{Filter, load_records, render_html, render_text};

use super::{Command, parse};
use crate::ExitStatus;

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "timeline",
    summary: "Merge the time lines of many processes, as text or as a page",
    run,
};

const BRIEF: &str = "Usage: celerywinch timeline [--key KEY] [--endpoint ADDR] [--html OUT] FILE...\n\n\
    Merges time lines by their hybrid clock and shows all events, or those of a key or an\n\
    endpoint. With `--html`, writes one self-contained page with a picture.";

fn run(arguments: &[String]) -> anyhow::Result<ExitStatus> {
    let mut options = getopts::Options::new();
    options.optopt("", "key", "only events of this key", "KEY");
    options.optopt("", "endpoint", "only events of this endpoint", "ADDR");
    options.optopt("", "html", "write a page with a picture", "OUT");
    let Some(matches) = parse(&mut options, BRIEF, arguments)? else {
        return Ok(ExitStatus::Success);
    };
    if matches.free.is_empty() {
        bail!("name at least one time line");
    }
    let filter = Filter {
        key: matches.opt_str("key"),
        endpoint: matches.opt_str("endpoint"),
    };
    let files: Vec<_> = matches.free.iter().map(Path::new).collect();
    let records = load_records(&files, &filter)?;
    match matches.opt_str("html") {
        Some(out) => std::fs::write(&out, render_html(&records))
            .with_context(|| format!("cannot write {out}"))?,
        None => print!("{}", render_text(&records)),
    }
    Ok(ExitStatus::Success)
}
