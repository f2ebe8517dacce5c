//! `celerywinch status`: shows the state of an instance and its view of its peers.

use serde_json::Value;

use super::operator::{self, Target};
use super::{Command, parse};
use crate::ExitStatus;

pub(super) const COMMAND: Command = Command {
    name: "status",
    summary: "Show the state of an instance and its view of its peers",
    run,
};

const USAGE: &str = "Usage: celerywinch status --at ADDR --secret-file FILE [--json]\n\n\
    Exits with 0 if the instance is ready for callers, 1 if not.";

fn run(arguments: &[String]) -> anyhow::Result<ExitStatus> {
    let mut options = getopts::Options::new();
    operator::options(&mut options);
    let Some(matches) = parse(&mut options, USAGE, arguments)? else {
        return Ok(ExitStatus::Success);
    };
    let page = Target::from(&matches)?.get("/v1/status")?;
    if matches.opt_present("json") {
        println!("{}", serde_json::to_string_pretty(&page)?);
    } else {
        print!("{}", render_text(&page));
    }
    Ok(if page["ready"] == true {
        ExitStatus::Success
    } else {
        ExitStatus::Failure
    })
}

/// Renders the status page as text.
fn render_text(page: &Value) -> String {
    let mut text = format!(
        "instance {}: {}\n",
        page["at"]["instance"],
        if page["ready"] == true {
            "ready"
        } else {
            "not ready"
        }
    );
    let fields = [
        ("catalogue version", "catalogue_version"),
        ("open jobs", "open_jobs"),
        ("queued tasks", "queued_tasks"),
        ("claim records", "claim_records"),
        ("known endpoints", "endpoints_known"),
        ("suspended endpoints", "endpoints_suspended"),
        ("violations", "violations"),
    ];
    for (name, field) in fields {
        text.push_str(&format!("  {name:<20} {}\n", page[field]));
    }
    for peer in page["peers"].as_array().into_iter().flatten() {
        text.push_str(&format!(
            "  instance {:<4} {:<8} catalogue {:<6} last contact {} ms ago{}\n",
            peer["instance"],
            peer["state"].as_str().unwrap_or(""),
            peer["catalogue_version"],
            peer["heard_ms_ago"],
            if peer["hears_us"] == true {
                ""
            } else {
                ", receives nothing from this instance"
            },
        ));
    }
    text
}
