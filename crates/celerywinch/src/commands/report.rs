//! `celerywinch report`: results of the bench as a page with plots.

use anyhow::{Context, bail};
use celerywinch_bench::bench::RunResult;
use celerywinch_bench::report::render_html;

use super::{Command, parse};
use crate::ExitStatus;

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "report",
    what: "Draw results of the bench as one page with plots",
    run,
};

const BRIEF: &str = "Usage: celerywinch report --html OUT RUN.json...\n\n\
    Draws what `celerywinch bench --json` wrote, and compares the first two runs as ratios.";

fn run(arguments: &[String]) -> anyhow::Result<ExitStatus> {
    let mut options = getopts::Options::new();
    options.optopt("", "html", "the page to write", "OUT");
    let Some(matches) = parse(&mut options, BRIEF, arguments)? else {
        return Ok(ExitStatus::Success);
    };
    let out = matches.opt_str("html").context("`--html OUT` is missing")?;
    if matches.free.is_empty() {
        bail!("name at least one file of results");
    }
    let mut results: Vec<RunResult> = Vec::new();
    for file in &matches.free {
        let text = std::fs::read_to_string(file).with_context(|| format!("cannot read {file}"))?;
        let runs: Vec<RunResult> =
            serde_json::from_str(&text).with_context(|| format!("{file}: no results"))?;
        results.extend(runs);
    }
    std::fs::write(&out, render_html(&results)?).with_context(|| format!("cannot write {out}"))?;
    println!("{} runs drawn in {out}", results.len());
    Ok(ExitStatus::Success)
}
