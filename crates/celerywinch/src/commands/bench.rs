//! `celerywinch bench`: load tests and measurements.

use std::time::Duration;

use anyhow::{Context, bail};
use celerywinch_bench::bench::{BenchOptions, RunResult, SCENARIOS, Scenario, run as bench, table};
use celerywinch_bench::deployment::{ALL, Deployment};
use celerywinch_bench::{Policy, slopes};
use getopts::Matches;
use ntex::rt::{DefaultRuntime, System};

use super::{Command, parse, parse_number};
use crate::ExitStatus;

pub(super) const COMMAND: Command = Command {
    name: "bench",
    summary: "Run load tests with faults against real entries",
    run,
};

const USAGE: &str = "Usage: celerywinch bench [--scenario NAME]... [--deployment NAME] [--seed N]\n\
    \x20                        [--seconds S] [--baselines] [--json OUT]\n\
    \x20      celerywinch bench --slopes | --overhead [--json OUT]\n\n\
    Starts the entries and endpoints of a deployment in this process, submits jobs in an open loop, and\n\
    shows the ratio of response time to the longest task, outcomes and wasted messages. `--baselines`\n\
    also runs other policies for choosing endpoints. `--slopes` measures the cost of the control plane\n\
    by number of instances, endpoints and changes.";

/// Default duration of a run, in seconds.
const DEFAULT_SECONDS: u64 = 10;

fn run(arguments: &[String]) -> anyhow::Result<ExitStatus> {
    let mut options = getopts::Options::new();
    options.optmulti(
        "",
        "scenario",
        "scenario to run, repeatable; default: all",
        "NAME",
    );
    options.optopt("", "deployment", "condor or siam; default: condor", "NAME");
    options.optopt("", "seed", "seed of the load; default: 1", "N");
    options.optopt(
        "",
        "seconds",
        "how long callers submit jobs; default: 10",
        "S",
    );
    options.optflag("", "baselines", "also run the baseline policies");
    options.optflag("", "slopes", "measure the cost of the control plane");
    options.optflag("", "overhead", "measure the latency added to a direct call");
    options.optopt("", "json", "write the results to this file", "OUT");
    let Some(matches) = parse(&mut options, &usage(), arguments)? else {
        return Ok(ExitStatus::Success);
    };
    if matches.opt_present("slopes") || matches.opt_present("overhead") {
        return run_slopes(&matches);
    }
    let runs = plan_runs(&matches)?;
    let system = System::build().name("bench").build(DefaultRuntime);
    let results = system.block_on(async move {
        let mut results = Vec::new();
        for options in runs {
            results.push(bench(options).await?);
            eprintln!("{}", table(&results[results.len() - 1..]));
        }
        anyhow::Ok(results)
    })?;
    println!("{}", table(&results));
    write_json(&matches, &results)?;
    let has_violations =
        |result: &RunResult| result.metrics.duplicate_starts + result.metrics.violations > 0;
    Ok(if results.iter().any(has_violations) {
        ExitStatus::Failure
    } else {
        ExitStatus::Success
    })
}

fn usage() -> String {
    let mut text = format!("{USAGE}\n\nScenarios:\n");
    for scenario in SCENARIOS {
        text.push_str(&format!("  {:<11} {}\n", scenario.name, scenario.summary));
    }
    text
}

fn plan_runs(matches: &Matches) -> anyhow::Result<Vec<BenchOptions>> {
    let deployment = deployment(matches)?;
    let seed = parse_number(matches, "seed")?.unwrap_or(1);
    let seconds = parse_number(matches, "seconds")?.unwrap_or(DEFAULT_SECONDS);
    let mut policies = vec![Policy::Shares];
    if matches.opt_present("baselines") {
        policies.extend([Policy::Random, Policy::RoundRobin, Policy::LeastOutstanding]);
    }
    let mut runs = Vec::new();
    for scenario in scenarios(matches)? {
        for policy in &policies {
            runs.push(BenchOptions {
                deployment,
                scenario,
                policy: *policy,
                seed,
                duration: Duration::from_secs(seconds),
            });
        }
    }
    Ok(runs)
}

fn deployment(matches: &Matches) -> anyhow::Result<Deployment> {
    let name = matches
        .opt_str("deployment")
        .unwrap_or_else(|| "condor".into());
    let found = ALL.iter().find(|deployment| deployment.name == name);
    found
        .copied()
        .with_context(|| format!("`--deployment`: found {name:?}, wanted condor or siam"))
}

fn scenarios(matches: &Matches) -> anyhow::Result<Vec<Scenario>> {
    let names = matches.opt_strs("scenario");
    if names.is_empty() {
        return Ok(SCENARIOS.to_vec());
    }
    let mut found = Vec::new();
    for name in names {
        match SCENARIOS.iter().find(|scenario| scenario.name == name) {
            Some(scenario) => found.push(*scenario),
            None => bail!("`--scenario`: unknown scenario {name:?}; see --help"),
        }
    }
    Ok(found)
}

fn run_slopes(matches: &Matches) -> anyhow::Result<ExitStatus> {
    let system = System::build().name("slopes").build(DefaultRuntime);
    let slopes = if matches.opt_present("overhead") {
        system.block_on(slopes::overhead())?
    } else {
        system.block_on(slopes::run())?
    };
    println!("{}", slopes::table(&slopes));
    write_json(matches, &slopes)?;
    Ok(ExitStatus::Success)
}

fn write_json<T: serde::Serialize>(matches: &Matches, value: &T) -> anyhow::Result<()> {
    if let Some(path) = matches.opt_str("json") {
        let text = serde_json::to_string_pretty(value)?;
        std::fs::write(&path, text).with_context(|| format!("cannot write {path}"))?;
    }
    Ok(())
}
