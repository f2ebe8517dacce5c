//! Plays the scripted cases of the review. `standin CASE PROGRAM FOLDER RECORD`, with `TROUBLE=0` for the same case without
//! its disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod deployment;
mod http;
mod json;
mod record;
mod worker;

use std::path::Path;
use std::thread;
use std::time::Duration;

use deployment::Deployment;
use record::Record;

/// The longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        deployment::kill_all();
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [case, program, folder, record] = &arguments[..] else {
        eprintln!("usage: standin CASE PROGRAM FOLDER RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = run(
        case,
        Path::new(program),
        Path::new(folder),
        Path::new(record),
        trouble,
    );
    std::process::exit(match verdict {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            2
        }
    });
}

/// Returns whether the rule was broken.
fn run(
    case: &str,
    program: &Path,
    folder: &Path,
    record: &Path,
    trouble: bool,
) -> Result<bool, String> {
    let record = Record::create(record).map_err(|error| error.to_string())?;
    record.line(&format!(
        "case {case}, {} the disruption",
        if trouble { "with" } else { "without" }
    ));
    if case == "first-start" {
        let broken = cases::first_start(program, folder, &record, trouble)?;
        record.line(verdict(broken));
        return Ok(broken);
    }
    let deployment =
        Deployment::start(program, folder, record.clone()).map_err(|error| error.to_string())?;
    let broken = match case {
        "invalid-config" => cases::invalid_config(&deployment, trouble),
        "cancelled-job" => cases::cancelled_job(&deployment, trouble),
        "unreadable-ping" => cases::unreadable_ping(&deployment, trouble),
        "stopped-entry" => cases::stopped_entry(&deployment, trouble),
        other => Err(format!("unknown case {other}")),
    }?;
    record.line(verdict(broken));
    Ok(broken)
}

fn verdict(broken: bool) -> &'static str {
    if broken {
        "the rule is broken"
    } else {
        "the rule held"
    }
}
