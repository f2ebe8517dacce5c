//! `celerywinch soak`: long randomised runs of the state machines.

use celerywinch_bench::soak::{SoakOptions, run as soak, run_store};

use celerywinch_bench::members;

use celerywinch_types::{DisabledMechanisms, JobId};

use super::{Command, number, parse};
use crate::ExitStatus;

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "soak",
    summary: "Run the state machines at random under faults and check their histories",
    run,
};

const BRIEF: &str = "Usage: celerywinch soak [--seed N] [--steps M] [--calm] [--store]\n       celerywinch soak --members [--seed N] [--runs M] [--held]\n                                  [--congested] [--refused] [--drift] [--many]\n                                  [--reborn] [--shrinking] [--crashing]\n                                  [--evacuated] [--resets]\n                                  [--without NAMES]\n\n\
    Drives the entries' state machines with a virtual clock under lost, doubled, delayed and\n\
    reordered messages, deaths, freezes, cuts and lost memory. One seed gives one run.\n\
    Prints `steps=… starts=… violations=…` last and exits 1 on a violation.";

/// Ms of load in a run of members.
const MEMBERS_LOAD: u64 = 15_000;
/// Ms between two faults in a run of members: the first seeds get few, the later ones many.
const MEMBERS_FAULTS: [u64; 4] = [900, 500, 300, 150];
/// The most workers of a dispatcher, of 48: one for all, or several that hand on what finds no room.
const MEMBERS_SHARDS: [usize; 3] = [80, 8, 16];

/// Entries of a run of members: all hear each other often, or only those do that work with each other.
const FEW_ENTRIES: u32 = 7;
const MANY_ENTRIES: u32 = 24;
/// The most workers of a dispatcher where there are many entries: eight or four dispatch, of whom an origin uses six.
const MANY_SHARDS: [usize; 3] = [6, 6, 12];
/// The same in a run with congested paths: 4 s of the usual load, then a lull in which most workers
/// are idle for longer than the 20 s after which a silent worker is forgotten; twice, and 4 s at the end.
const CONGESTED_LOAD: u64 = 64_000;
const LULL_EVERY: u64 = 30_000;
const LULL_LASTS: u64 = 26_000;
const LULL_CALM: u64 = 22_000;
const LULL_LOADS: [f64; 4] = [0.05, 0.4, 0.1, 0.2];

/// What callers wait at most where messages are held up, in ms; the users' callers wait up to 8 s.
const PATIENT: u32 = 8_000;

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
    options.optflag(
        "",
        "members",
        "run members of a fleet and their leased workers instead of the entries",
    );
    options.optopt(
        "",
        "runs",
        "with --members: so many seeds in turn; 1 without it",
        "N",
    );
    options.optflag(
        "",
        "held",
        "with --members: cut many entries off at once and hold their messages up, too",
    );
    options.optflag(
        "",
        "congested",
        "with --members: runs of 60 s with spells of low load, and congest the paths to members, too",
    );
    options.optflag(
        "",
        "refused",
        "with --members: have members and workers that are alive refuse connections, too",
    );
    options.optflag(
        "",
        "drift",
        "with --members: steady clocks of workers are up to 2% slow",
    );
    options.optflag(
        "",
        "reborn",
        "with --members: workers start again under their names, and leave, too",
    );
    options.optflag(
        "",
        "shrinking",
        "with --members: workers that do not guard their room have less of it at times",
    );
    options.optflag(
        "",
        "crashing",
        "with --members: tasks of some jobs end their workers",
    );
    options.optflag(
        "",
        "evacuated",
        "with --members: operators start and end evacuations of data centres",
    );
    options.optflag(
        "",
        "resets",
        "with --members: reset many connections at once; callers send again at once",
    );
    options.optflag(
        "",
        "many",
        "with --members: so many entries that most hear each other rarely",
    );
    options.optopt(
        "",
        "without",
        "with --members: leave these mechanisms of dispatching out",
        "NAMES",
    );
    options.optopt(
        "",
        "follow-job",
        "with --members: print all about a job",
        "N",
    );
    options.optopt("", "follow", "print all that happens to a key", "KEY");
    let Some(matches) = parse(&mut options, BRIEF, arguments)? else {
        return Ok(ExitStatus::Success);
    };
    let seed = number(&matches, "seed")?.unwrap_or(1);
    let steps = number(&matches, "steps")?.unwrap_or(STEPS);
    if matches.opt_present("members") {
        let runs = number(&matches, "runs")?.unwrap_or(1);
        let job = number(&matches, "follow-job")?;
        let kinds = Kinds {
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
            without: matches.opt_str("without").unwrap_or_default().parse()?,
        };
        return Ok(members(seed, runs, kinds, job));
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

/// Kinds of faults that were asked for, beside those of every run.
#[derive(Clone, Copy, Debug)]
struct Kinds {
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
    without: DisabledMechanisms,
}

/// The brief's kinds of jobs. Where messages are late or lost for seconds their callers wait longer, or none
/// would wait any more when they arrive.
fn classes(kinds: Kinds) -> Vec<members::ClassPlan> {
    let mut classes = members::brief_classes();
    if kinds.held || kinds.congested || kinds.refused {
        classes.iter_mut().for_each(|class| class.timeout = PATIENT);
    }
    classes
}

fn members_options(seed: u64, kinds: Kinds, follow: Option<u64>) -> members::MembersOptions {
    let every = MEMBERS_FAULTS[(seed % MEMBERS_FAULTS.len() as u64) as usize];
    let lull = members::Lull {
        every: LULL_EVERY,
        lasts: LULL_LASTS,
        calm: LULL_CALM,
        factor: LULL_LOADS[(seed / 4 % LULL_LOADS.len() as u64) as usize],
    };
    let shards = if kinds.many {
        MANY_SHARDS
    } else {
        MEMBERS_SHARDS
    };
    members::MembersOptions {
        seed,
        dcs: 3,
        entries: if kinds.many {
            MANY_ENTRIES
        } else {
            FEW_ENTRIES
        },
        workers: 48,
        shard: shards[(seed % shards.len() as u64) as usize],
        without: kinds.without,
        link: None,
        length: if kinds.congested {
            CONGESTED_LOAD
        } else {
            MEMBERS_LOAD
        },
        load: members::LoadPlan {
            classes: classes(kinds),
            cpu: members::BRIEF_CPU,
            burst: None,
            lull: kinds.congested.then_some(lull),
        },
        unanswered: None,
        faults: Some(members::FaultPlan {
            every,
            members: true,
            workers: true,
            clocks: seed % 5 >= 3,
            held: kinds.held,
            congested: kinds.congested,
            refused: kinds.refused,
            drift: kinds.drift,
            reborn: kinds.reborn,
            shrinking: kinds.shrinking,
            crashing: kinds.crashing,
            evacuated: kinds.evacuated,
            resets: kinds.resets,
        }),
        follow: follow.map(JobId),
    }
}

fn members(seed: u64, runs: u64, kinds: Kinds, follow: Option<u64>) -> ExitStatus {
    let mut violated = 0;
    let mut starts = 0;
    for seed in seed..seed + runs {
        let report = members::run(members_options(seed, kinds, follow));
        starts += report.runs.0;
        if !report.violations.is_empty() {
            violated += 1;
            println!("Violations, seed {seed}: {}", report.violations.len());
            for violation in &report.violations {
                println!("  {violation:?}");
            }
        }
    }
    println!("runs={runs} starts={starts} violated={violated}");
    if violated > 0 {
        ExitStatus::Failure
    } else {
        ExitStatus::Success
    }
}
