//! `celerywinch catalogue`: get, compare, change and follow the catalogue.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::{Context, bail};
use celerywinch_settings::load_catalogue;
use getopts::Matches;
use serde_json::{Value, json};

use super::operator::{self, Target};
use super::{Command, number, parse};
use crate::ExitStatus;

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "catalogue",
    summary: "Get, compare, change and follow the catalogue",
    run,
};

const BRIEF: &str = "Usage: celerywinch catalogue get   --at ADDR --secret-file FILE\n\
    \x20      celerywinch catalogue diff  --at ADDR --secret-file FILE CATALOGUE\n\
    \x20      celerywinch catalogue apply --at ADDR --secret-file FILE [--base N] [--change ID] CATALOGUE\n\
    \x20      celerywinch catalogue where --at ADDR --secret-file FILE\n\n\
    `apply` changes version N (the present one without `--base`) into the file. Of changes made\n\
    from the same version one is accepted. If no answer comes, send the same change id again.\n\
    `where` shows which version is in force at which instance.\n\
    Exits 0 if it is done, 1 on a difference or a refused change.";

fn run(arguments: &[String]) -> anyhow::Result<ExitStatus> {
    let mut options = getopts::Options::new();
    operator::options(&mut options);
    options.optopt("", "base", "the version that the change was made from", "N");
    options.optopt("", "change", "names the change, to send it again", "ID");
    let Some(matches) = parse(&mut options, BRIEF, arguments)? else {
        return Ok(ExitStatus::Success);
    };
    let action = matches.free.first().map(String::as_str);
    match action {
        Some("get") => get(&matches),
        Some("diff") => diff(&matches),
        Some("apply") => apply(&matches),
        Some("where") => whereabouts(&matches),
        _ => bail!("name one of get, diff, apply and where; see --help"),
    }
}

fn get(matches: &Matches) -> anyhow::Result<ExitStatus> {
    let page = Target::from(matches)?.get("/v1/catalogue")?;
    println!("{}", serde_json::to_string_pretty(&page)?);
    Ok(ExitStatus::Success)
}

fn file(matches: &Matches) -> anyhow::Result<Value> {
    let path = matches.free.get(1).context("name a catalogue file")?;
    Ok(serde_json::to_value(load_catalogue(Path::new(path))?)?)
}

fn diff(matches: &Matches) -> anyhow::Result<ExitStatus> {
    let ours = file(matches)?;
    let page = Target::from(matches)?.get("/v1/catalogue")?;
    let lines = differences(&page["catalogue"], &ours);
    if lines.is_empty() {
        println!("no difference from version {}", page["version"]);
        return Ok(ExitStatus::Success);
    }
    println!("from version {} to the file:", page["version"]);
    lines.iter().for_each(|line| println!("{line}"));
    Ok(ExitStatus::Failure)
}

/// One line for each kind or team that is added, removed or changed.
fn differences(from: &Value, to: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    for family in ["kinds", "teams"] {
        let keys = |value: &Value| -> BTreeSet<String> {
            let entries = value[family].as_object();
            entries
                .into_iter()
                .flatten()
                .map(|(key, _)| key.clone())
                .collect()
        };
        for name in keys(from).union(&keys(to)) {
            let (old, new) = (&from[family][name], &to[family][name]);
            if old == new {
                continue;
            }
            lines.push(match (old.is_null(), new.is_null()) {
                (true, _) => format!("+ {family}.{name}: {new}"),
                (_, true) => format!("- {family}.{name}: {old}"),
                _ => format!("~ {family}.{name}: {old} -> {new}"),
            });
        }
    }
    lines
}

fn apply(matches: &Matches) -> anyhow::Result<ExitStatus> {
    let document = file(matches)?;
    let target = Target::from(matches)?;
    let base = match number(matches, "base")? {
        Some(base) => base,
        None => target.get("/v1/catalogue")?["version"]
            .as_u64()
            .unwrap_or(0),
    };
    let change = matches.opt_str("change").unwrap_or_else(fresh_change);
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
            println!(
                "change {change}: no answer ({error:#}); send it again with --change {change}"
            );
            Ok(ExitStatus::Failure)
        }
    }
}

fn fresh_change() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = since.map_or(0, |span| span.as_nanos());
    format!("change-{nanos}-{}", std::process::id())
}

fn whereabouts(matches: &Matches) -> anyhow::Result<ExitStatus> {
    let page = Target::from(matches)?.get("/v1/catalogue/where")?;
    if matches.opt_present("json") {
        println!("{}", serde_json::to_string_pretty(&page)?);
        return Ok(ExitStatus::Success);
    }
    for line in page["instances"].as_array().into_iter().flatten() {
        println!(
            "instance {:<4} version {:<8} {:<8} heard {} ms ago",
            line["instance"],
            line["version"],
            line["state"].as_str().unwrap_or(""),
            line["heard_ms_ago"]
        );
    }
    Ok(ExitStatus::Success)
}
