//! `celerywinch report`: renders benchmark results as an HTML page with plots.

use anyhow::{Context, bail};
use celerywinch_bench::bench::RunResult;
use celerywinch_bench::report::render_html;

use super::{Command, parse};
use crate::ExitStatus;

pub(super) const COMMAND: Command = Command {
    name: "report",
    summary: "Render benchmark results as an HTML page with plots",
    run,
};

const USAGE: &str = "Usage: celerywinch report --html OUT RUN.json...\n\n\
    Plots the results written by `celerywinch bench --json`, and shows the ratios of the first two runs.";

fn run(arguments: &[String]) -> anyhow::Result<ExitStatus> {
    let mut options = getopts::Options::new();
    options.optopt("", "html", "the HTML file to write", "OUT");
    let Some(matches) = parse(&mut options, USAGE, arguments)? else {
        return Ok(ExitStatus::Success);
    };
    let out = matches.opt_str("html").context("`--html OUT` is missing")?;
    if matches.free.is_empty() {
        bail!("at least one result file is required");
    }
    let mut results: Vec<RunResult> = Vec::new();
    for file in &matches.free {
        let text = std::fs::read_to_string(file).with_context(|| format!("cannot read {file}"))?;
        let runs: Vec<RunResult> = serde_json::from_str(&text)
            .with_context(|| format!("{file}: not a file of benchmark results"))?;
        results.extend(runs);
    }
    std::fs::write(&out, render_html(&results)?).with_context(|| format!("cannot write {out}"))?;
    println!("wrote {} runs to {out}", results.len());
    Ok(ExitStatus::Success)
}
