//! `celerywinch timeline`: merges the time lines of several processes.

use std::path::Path;

use anyhow::{Context, bail};
use celerywinch_timeline::{Filter, load_records, render_html, render_text};

use super::{Command, parse};
use crate::ExitStatus;

pub(super) const COMMAND: Command = Command {
    name: "timeline",
    summary: "Merge the time lines of several processes, as text or HTML",
    run,
};

const USAGE: &str = "Usage: celerywinch timeline [--key KEY] [--endpoint ADDR] [--html OUT] FILE...\n\n\
    Merges time lines by hybrid logical clock and shows all events, or those of one key or\n\
    endpoint. With `--html`, writes a self-contained HTML page with a diagram.";

fn run(arguments: &[String]) -> anyhow::Result<ExitStatus> {
    let mut options = getopts::Options::new();
    options.optopt("", "key", "show only events of this key", "KEY");
    options.optopt("", "endpoint", "show only events of this endpoint", "ADDR");
    options.optopt("", "html", "write an HTML page with a diagram", "OUT");
    let Some(matches) = parse(&mut options, USAGE, arguments)? else {
        return Ok(ExitStatus::Success);
    };
    if matches.free.is_empty() {
        bail!("at least one time line file is required");
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
