//! `celerywinch soak`: randomised simulations of the state machines under faults.

use celerywinch_bench::members;
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
    \x20                                 [--evacuated] [--resets]\n\
    \x20                                 [--without NAMES]\n\n\
    Drives the state machines of the entries with a virtual clock under lost, duplicated, delayed and\n\
    reordered messages, crashes, freezes, partitions and lost state. Runs are deterministic per seed.\n\
    The last line is `steps=… starts=… violations=…`; exits with 1 on a violation.";

/// Duration of the load in a run of members, in ms.
const MEMBERS_LOAD_MS: u64 = 15_000;
/// Interval between two faults in a run of members, in ms; chosen by the seed modulo 4.
const MEMBERS_FAULT_INTERVALS_MS: [u64; 4] = [900, 500, 300, 150];
/// Maximum number of workers per dispatcher, of 48 workers: either one dispatcher has all of them, or several
/// dispatchers pass on tasks for which they have no capacity. Chosen by the seed modulo 3.
const MEMBERS_SHARD_SIZES: [usize; 3] = [80, 8, 16];

/// Number of entries in a run of members. With few entries, all exchange frequent heartbeats.
const FEW_ENTRIES: u32 = 7;
/// Number of entries with `--many`: only entries that work with each other exchange frequent heartbeats.
const MANY_ENTRIES: u32 = 24;
/// Maximum number of workers per dispatcher with `--many`: there are eight or four dispatchers, of which an
/// origin uses at most six.
const MANY_SHARD_SIZES: [usize; 3] = [6, 6, 12];
/// Duration of the load with `--congested`, in ms: two periods of 4 s of normal load and a lull, then 4 s of
/// normal load.
const CONGESTED_LOAD_MS: u64 = 64_000;
const LULL_PERIOD_MS: u64 = 30_000;
/// During a lull, most workers are idle for longer than the 20 s after which a silent worker is removed.
const LULL_DURATION_MS: u64 = 26_000;
/// Time from the start of a lull without faults, in ms: a fault causes calls to workers, so they would not stay idle.
const LULL_FAULT_FREE_MS: u64 = 22_000;
/// Load during a lull as a fraction of normal load; chosen by the seed.
const LULL_LOAD_FACTORS: [f64; 4] = [0.05, 0.4, 0.1, 0.2];

/// Timeout of callers in runs where messages are delayed for seconds, in ms; the users' callers wait up to 8 s.
const LONG_TIMEOUT_MS: u32 = 8_000;

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
    options.optflag(
        "",
        "held",
        "with --members: also partition many entries at once and delay their messages",
    );
    options.optflag(
        "",
        "congested",
        "with --members: also congest the paths to members, in runs of 60 s with spells of low load",
    );
    options.optflag(
        "",
        "refused",
        "with --members: also have live members and workers refuse connections",
    );
    options.optflag(
        "",
        "drift",
        "with --members: run the steady clocks of workers up to 2% slow",
    );
    options.optflag(
        "",
        "reborn",
        "with --members: also have workers leave, and restart under the same ID",
    );
    options.optflag(
        "",
        "shrinking",
        "with --members: at times reduce the capacity of workers, which then accept tasks regardless of it",
    );
    options.optflag(
        "",
        "crashing",
        "with --members: have tasks of some jobs crash their workers",
    );
    options.optflag(
        "",
        "evacuated",
        "with --members: start and end evacuations of data centres",
    );
    options.optflag(
        "",
        "resets",
        "with --members: reset many connections at once; callers retry at once",
    );
    options.optflag(
        "",
        "many",
        "with --members: run so many entries that most exchange heartbeats rarely",
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
        let flags = FaultFlags {
            held: matches.opt_present("held"),
            congested: matches.opt_present("congested"),
            refused: matches.opt_present("refused"),
            drift: matches.opt_present("drift"),
            reborn: matches.opt_present("reborn"),
            shrinking: matches.opt_present("shrinking"),
            crashing: matches.opt_present("crashing"),
            evacuated: matches.opt_present("evacuated"),
            resets: matches.opt_present("resets"),
            many: matches.opt_present("many"),
            disabled: matches.opt_str("without").unwrap_or_default().parse()?,
        };
        return Ok(run_members(seed, runs, flags, job));
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

/// Faults and conditions selected by flags, in addition to the faults of every run.
#[derive(Clone, Copy, Debug)]
struct FaultFlags {
    held: bool,
    congested: bool,
    refused: bool,
    drift: bool,
    reborn: bool,
    shrinking: bool,
    crashing: bool,
    evacuated: bool,
    resets: bool,
    many: bool,
    disabled: DisabledMechanisms,
}

/// Returns the job classes of the reference service. Where messages are delayed or lost for seconds, the callers get a longer
/// timeout, as otherwise all callers would have given up before the messages arrive.
fn job_classes(flags: FaultFlags) -> Vec<members::ClassPlan> {
    let mut classes = members::reference_classes();
    if flags.held || flags.congested || flags.refused {
        classes
            .iter_mut()
            .for_each(|class| class.timeout_ms = LONG_TIMEOUT_MS);
    }
    classes
}

fn members_options(seed: u64, flags: FaultFlags, follow: Option<u64>) -> members::MembersOptions {
    let interval_ms =
        MEMBERS_FAULT_INTERVALS_MS[(seed % MEMBERS_FAULT_INTERVALS_MS.len() as u64) as usize];
    let lull = members::Lull {
        period_ms: LULL_PERIOD_MS,
        length_ms: LULL_DURATION_MS,
        calm_ms: LULL_FAULT_FREE_MS,
        factor: LULL_LOAD_FACTORS[(seed / 4 % LULL_LOAD_FACTORS.len() as u64) as usize],
    };
    let shard_sizes = if flags.many {
        MANY_SHARD_SIZES
    } else {
        MEMBERS_SHARD_SIZES
    };
    members::MembersOptions {
        seed,
        dcs: 3,
        entries: if flags.many {
            MANY_ENTRIES
        } else {
            FEW_ENTRIES
        },
        workers: 48,
        shard_size: shard_sizes[(seed % shard_sizes.len() as u64) as usize],
        disabled: flags.disabled,
        link_rate: None,
        load_ms: if flags.congested {
            CONGESTED_LOAD_MS
        } else {
            MEMBERS_LOAD_MS
        },
        load: members::LoadPlan {
            classes: job_classes(flags),
            cpu: members::REFERENCE_CPU,
            burst: None,
            lull: flags.congested.then_some(lull),
        },
        unanswered: None,
        faults: Some(members::FaultPlan {
            interval_ms,
            members: true,
            workers: true,
            clock_skew: seed % 5 >= 3,
            partitioned: flags.held,
            congested: flags.congested,
            refused: flags.refused,
            drift: flags.drift,
            reused_names: flags.reborn,
            shrinking: flags.shrinking,
            crashing: flags.crashing,
            evacuated: flags.evacuated,
            resets: flags.resets,
        }),
        follow: follow.map(JobId),
    }
}

fn run_members(seed: u64, runs: u64, flags: FaultFlags, follow: Option<u64>) -> ExitStatus {
    let mut violated_runs = 0;
    let mut starts = 0;
    for seed in seed..seed + runs {
        let report = members::run(members_options(seed, flags, follow));
        starts += report.runs.0;
        if !report.violations.is_empty() {
            violated_runs += 1;
            println!("Violations, seed {seed}: {}", report.violations.len());
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
