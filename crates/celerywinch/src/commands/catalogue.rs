//! `celerywinch catalogue`: shows, compares and changes the catalogue, and shows where each version is in force.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::{Context, bail};
use celerywinch_settings::load_catalogue;
use getopts::Matches;
use serde_json::{Value, json};

use super::operator::{self, Target};
use super::{Command, parse, parse_number};
use crate::ExitStatus;

pub(super) const COMMAND: Command = Command {
    name: "catalogue",
    summary: "Show, compare and change the catalogue",
    run,
};

const USAGE: &str = "Usage: celerywinch catalogue get   --at ADDR --secret-file FILE\n\
    \x20      celerywinch catalogue diff  --at ADDR --secret-file FILE CATALOGUE\n\
    \x20      celerywinch catalogue apply --at ADDR --secret-file FILE [--base N] [--change ID] CATALOGUE\n\
    \x20      celerywinch catalogue where --at ADDR --secret-file FILE\n\n\
    `apply` replaces version N (default: the current version) with the file. Of several changes with the\n\
    same base version, one is accepted. If no answer arrives, retry with the same change ID.\n\
    `where` shows the version in force at each instance.\n\
    Exits with 0 on success, 1 on a difference or a rejected change.";

fn run(arguments: &[String]) -> anyhow::Result<ExitStatus> {
    let mut options = getopts::Options::new();
    operator::options(&mut options);
    options.optopt(
        "",
        "base",
        "version that the change is based on; default: the current version",
        "N",
    );
    options.optopt(
        "",
        "change",
        "ID of the change, for a retry; default: a new ID",
        "ID",
    );
    let Some(matches) = parse(&mut options, USAGE, arguments)? else {
        return Ok(ExitStatus::Success);
    };
    let action = matches.free.first().map(String::as_str);
    match action {
        Some("get") => get(&matches),
        Some("diff") => diff(&matches),
        Some("apply") => apply(&matches),
        Some("where") => show_versions(&matches),
        _ => bail!("one of get, diff, apply and where is required; see --help"),
    }
}

fn get(matches: &Matches) -> anyhow::Result<ExitStatus> {
    let page = Target::from(matches)?.get("/v1/catalogue")?;
    println!("{}", serde_json::to_string_pretty(&page)?);
    Ok(ExitStatus::Success)
}

fn load_document(matches: &Matches) -> anyhow::Result<Value> {
    let path = matches
        .free
        .get(1)
        .context("a catalogue file is required")?;
    Ok(serde_json::to_value(load_catalogue(Path::new(path))?)?)
}

fn diff(matches: &Matches) -> anyhow::Result<ExitStatus> {
    let document = load_document(matches)?;
    let page = Target::from(matches)?.get("/v1/catalogue")?;
    let lines = differences(&page["catalogue"], &document);
    if lines.is_empty() {
        println!("no differences from version {}", page["version"]);
        return Ok(ExitStatus::Success);
    }
    println!("changes from version {} to the file:", page["version"]);
    lines.iter().for_each(|line| println!("{line}"));
    Ok(ExitStatus::Failure)
}

/// Returns one line for each kind or team that is added, removed or changed.
fn differences(from: &Value, to: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    for section in ["kinds", "teams"] {
        let keys = |value: &Value| -> BTreeSet<String> {
            let entries = value[section].as_object();
            entries
                .into_iter()
                .flatten()
                .map(|(key, _)| key.clone())
                .collect()
        };
        for name in keys(from).union(&keys(to)) {
            let (old, new) = (&from[section][name], &to[section][name]);
            if old == new {
                continue;
            }
            lines.push(match (old.is_null(), new.is_null()) {
                (true, _) => format!("+ {section}.{name}: {new}"),
                (_, true) => format!("- {section}.{name}: {old}"),
                _ => format!("~ {section}.{name}: {old} -> {new}"),
            });
        }
    }
    lines
}

fn apply(matches: &Matches) -> anyhow::Result<ExitStatus> {
    let document = load_document(matches)?;
    let target = Target::from(matches)?;
    let base = match parse_number(matches, "base")? {
        Some(base) => base,
        None => target.get("/v1/catalogue")?["version"]
            .as_u64()
            .unwrap_or(0),
    };
    let change = matches.opt_str("change").unwrap_or_else(generate_change_id);
    let body = json!({ "change": change, "base": base, "document": document });
    let response = target.put("/v1/catalogue", body);
    match response {
        Ok(response) if response.status == 200 => {
            println!("accepted as version {}", response.body["version"]);
            Ok(ExitStatus::Success)
        }
        Ok(response) => {
            println!("change {change}: {}", response.problem());
            Ok(ExitStatus::Failure)
        }
        Err(error) => {
            println!("change {change}: no answer ({error:#}); retry with --change {change}");
            Ok(ExitStatus::Failure)
        }
    }
}

fn generate_change_id() -> String {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = elapsed.map_or(0, |span| span.as_nanos());
    format!("change-{nanos}-{}", std::process::id())
}

fn show_versions(matches: &Matches) -> anyhow::Result<ExitStatus> {
    let page = Target::from(matches)?.get("/v1/catalogue/where")?;
    if matches.opt_present("json") {
        println!("{}", serde_json::to_string_pretty(&page)?);
        return Ok(ExitStatus::Success);
    }
    for line in page["instances"].as_array().into_iter().flatten() {
        println!(
            "instance {:<4} version {:<8} {:<8} last contact {} ms ago",
            line["instance"],
            line["version"],
            line["state"].as_str().unwrap_or(""),
            line["heard_ms_ago"]
        );
    }
    Ok(ExitStatus::Success)
}
