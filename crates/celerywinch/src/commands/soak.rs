//! `celerywinch soak`: long randomised runs of the state machines.

use celerywinch_bench::soak::{SoakOptions, run as soak, run_store};

use super::{Command, number, parse};
use crate::ExitStatus;

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "soak",
    what: "Run the state machines at random under faults and check their histories",
    run,
};

const BRIEF: &str = "Usage: celerywinch soak [--seed N] [--steps M] [--calm] [--store]\n\n\
    Drives the entries' state machines with a virtual clock under lost, doubled, delayed and\n\
    reordered messages, deaths, freezes, cuts and lost memory. One seed gives one run.\n\
    Prints `steps=… starts=… violations=…` last and exits 1 on a violation.";

/// Events of a run where none are asked for.
const STEPS: u64 = 200_000;

fn run(arguments: &[String]) -> anyhow::Result<ExitStatus> {
    let mut options = getopts::Options::new();
    options.optopt("", "seed", "seed of the run; 1 without it", "N");
    options.optopt("", "steps", "events of the run; 200000 without it", "M");
    options.optflag("", "calm", "without faults");
    options.optflag(
        "",
        "store",
        "run the keepers of the catalogue instead of the entries",
    );
    options.optopt("", "follow", "print all that happens to a key", "KEY");
    let Some(matches) = parse(&mut options, BRIEF, arguments)? else {
        return Ok(ExitStatus::Success);
    };
    let seed = number(&matches, "seed")?.unwrap_or(1);
    let steps = number(&matches, "steps")?.unwrap_or(STEPS);
    let store = matches.opt_present("store");
    let options = SoakOptions {
        seed,
        steps,
        faults: !matches.opt_present("calm"),
        follow: matches.opt_str("follow"),
    };
    let report = if store {
        run_store(&options)
    } else {
        soak(options)?
    };
    for (name, count) in &report.replies {
        println!("{name}: {count}");
    }
    let violated = !report.violations.is_empty();
    if violated {
        println!("The last events:");
        report
            .last_events
            .iter()
            .for_each(|line| println!("  {line}"));
        println!("Violations, seed {seed}:");
        report
            .violations
            .iter()
            .take(20)
            .for_each(|line| println!("  {line}"));
    }
    println!(
        "steps={} starts={} violations={}",
        report.steps,
        report.starts,
        report.violations.len()
    );
    Ok(if violated {
        ExitStatus::Failure
    } else {
        ExitStatus::Success
    })
}
