//! `celerywinch soak`: randomised simulations of the state machines under faults.

use celerywinch_bench::members::{self, Switch, Switches};
use celerywinch_bench::soak::{SoakOptions, run as soak, run_store};
use celerywinch_types::{DisabledMechanisms, JobId};

use super::{Command, parse, parse_number};
use crate::ExitStatus;

pub(super) const COMMAND: Command = Command {
    name: "soak",
    summary: "Simulate the state machines under random faults and check their histories",
    run,
};

const USAGE: &str = "Usage: celerywinch soak [--seed N] [--steps M] [--calm] [--store]\n\
    \x20      celerywinch soak --members [--seed N] [--runs M] [--held]\n\
    \x20                                 [--congested] [--refused] [--drift] [--many]\n\
    \x20                                 [--reborn] [--shrinking] [--crashing]\n\
    \x20                                 [--evacuated] [--resets] [--overloaded] [--uneven]\n\
    \x20                                 [--mixed] [--without NAMES]\n\n\
    Drives the state machines of the entries with a virtual clock under lost, duplicated, delayed and\n\
    reordered messages, crashes, freezes, partitions and lost state. Runs are deterministic per seed.\n\
    The last line is `steps=… starts=… violations=…`; exits with 1 on a violation.";

/// Default number of events of a run.
const DEFAULT_STEPS: u64 = 200_000;

fn run(arguments: &[String]) -> anyhow::Result<ExitStatus> {
    let mut options = getopts::Options::new();
    options.optopt("", "seed", "seed of the run; default: 1", "N");
    options.optopt("", "steps", "number of events; default: 200000", "M");
    options.optflag("", "calm", "inject no faults");
    options.optflag(
        "",
        "store",
        "simulate the keepers of the catalogue instead of the entries",
    );
    options.optflag(
        "",
        "members",
        "simulate members of a fleet and their leased workers instead of the entries",
    );
    options.optopt(
        "",
        "runs",
        "with --members: number of consecutive seeds to run; default: 1",
        "N",
    );
    for switch in Switch::ALL {
        let help = format!("with --members: {}", switch.help());
        options.optflag("", switch.name(), &help);
    }
    options.optflag(
        "",
        "mixed",
        "with --members: draw three to five of these faults, or six with --overloaded, for each seed, and print them",
    );
    options.optopt(
        "",
        "without",
        "with --members: disable these dispatching mechanisms",
        "NAMES",
    );
    options.optopt(
        "",
        "follow-job",
        "with --members: print all events of a job",
        "N",
    );
    options.optopt("", "follow", "print all events of a key", "KEY");
    let Some(matches) = parse(&mut options, USAGE, arguments)? else {
        return Ok(ExitStatus::Success);
    };
    let seed = parse_number(&matches, "seed")?.unwrap_or(1);
    let steps = parse_number(&matches, "steps")?.unwrap_or(DEFAULT_STEPS);
    if matches.opt_present("members") {
        let runs = parse_number(&matches, "runs")?.unwrap_or(1);
        let job = parse_number(&matches, "follow-job")?;
        let chosen = Switch::ALL.into_iter();
        let chosen = chosen.filter(|switch| matches.opt_present(switch.name()));
        let mix = if matches.opt_present("mixed") {
            Mix::Drawn
        } else {
            Mix::Chosen(chosen.collect())
        };
        let soak = MembersSoak {
            mix,
            disabled: matches.opt_str("without").unwrap_or_default().parse()?,
            follow: job.map(JobId),
        };
        return Ok(soak.run(seed, runs));
    }
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
        println!("Last events:");
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

/// How the faults of a run are chosen.
#[derive(Debug)]
enum Mix {
    /// By the options, the same for all seeds.
    Chosen(Switches),
    /// By each seed.
    Drawn,
}

/// Runs of members with consecutive seeds.
#[derive(Debug)]
struct MembersSoak {
    mix: Mix,
    disabled: DisabledMechanisms,
    follow: Option<JobId>,
}

impl MembersSoak {
    fn run(&self, first_seed: u64, runs: u64) -> ExitStatus {
        let mut violated_runs = 0;
        let mut starts = 0;
        for seed in first_seed..first_seed + runs {
            let switches = match &self.mix {
                Mix::Chosen(switches) => switches.clone(),
                Mix::Drawn => Switches::draw(seed),
            };
            let report = members::run(members::MembersOptions {
                disabled: self.disabled,
                follow: self.follow,
                ..switches.options(seed)
            });
            starts += report.runs.0;
            if !report.violations.is_empty() {
                violated_runs += 1;
                let count = report.violations.len();
                println!("Violations, seed {seed} with {switches}: {count}");
                for violation in &report.violations {
                    println!("  {violation:?}");
                }
            }
        }
        println!("runs={runs} starts={starts} violated={violated_runs}");
        if violated_runs > 0 {
            ExitStatus::Failure
        } else {
            ExitStatus::Success
        }
    }
}
