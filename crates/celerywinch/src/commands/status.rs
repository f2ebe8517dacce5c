//! `celerywinch status`: what an instance is doing and sees.

use serde_json::Value;

use super::operator::{self, Target};
use super::{Command, parse};
use crate::ExitStatus;

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "status",
    summary: "Show what an instance is doing and what it sees of the others",
    run,
};

const BRIEF: &str = "Usage: celerywinch status --at ADDR --secret-file FILE [--json]\n\n\
    Exits 0 if the instance is ready for callers, 1 if it is not.";

fn run(arguments: &[String]) -> anyhow::Result<ExitStatus> {
    let mut options = getopts::Options::new();
    operator::options(&mut options);
    let Some(matches) = parse(&mut options, BRIEF, arguments)? else {
        return Ok(ExitStatus::Success);
    };
    let page = Target::from(&matches)?.get("/v1/status")?;
    if matches.opt_present("json") {
        println!("{}", serde_json::to_string_pretty(&page)?);
    } else {
        print!("{}", text(&page));
    }
    Ok(if page["ready"] == true {
        ExitStatus::Success
    } else {
        ExitStatus::Failure
    })
}

/// The page as lines for people.
fn text(page: &Value) -> String {
    let mut text = format!(
        "instance {}: {}\n",
        page["at"]["instance"],
        if page["ready"] == true {
            "ready"
        } else {
            "not ready"
        }
    );
    let figures = [
        ("catalogue version", "catalogue_version"),
        ("open jobs", "open_jobs"),
        ("queued tasks", "queued_tasks"),
        ("remembered keys", "claim_records"),
        ("endpoints known", "endpoints_known"),
        ("endpoints suspended", "endpoints_suspended"),
        ("failed assertions", "violations"),
    ];
    for (name, field) in figures {
        text.push_str(&format!("  {name:<20} {}\n", page[field]));
    }
    for peer in page["peers"].as_array().into_iter().flatten() {
        text.push_str(&format!(
            "  instance {:<4} {:<8} catalogue {:<6} heard {} ms ago{}\n",
            peer["instance"],
            peer["state"].as_str().unwrap_or(""),
            peer["catalogue_version"],
            peer["heard_ms_ago"],
            if peer["hears_us"] == true {
                ""
            } else {
                ", does not hear us"
            },
        ));
    }
    text
}
