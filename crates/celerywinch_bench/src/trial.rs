//! A trial of the main job that needs no other set-up (`celerywinch try`).

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use celerywinch_dispatch::Policy;
use celerywinch_standin::generate_key;
use serde_json::{Value, json};

use crate::cluster::Cluster;
use crate::deployment::{ALL, CONDOR, Deployment};

/// Number of endpoints of each cluster.
const ENDPOINTS: usize = 8;

/// One submission of a trial, with its expected outcome.
struct Case {
    description: &'static str,
    kind: &'static str,
    /// The entries to which it is sent at the same time, with the same key.
    entries: &'static [usize],
    run_ms: &'static [f64],
    fails: bool,
    deadline_ms: u64,
    expected: &'static str,
}

const CONDOR_CASES: &[Case] = &[
    Case {
        description: "a price check",
        kind: "price-check",
        entries: &[0],
        run_ms: &[60.0],
        fails: false,
        deadline_ms: 1000,
        expected: "answer",
    },
    Case {
        description: "a scan match of eight tasks",
        kind: "scan-match",
        entries: &[1],
        run_ms: &[50.0, 80.0, 120.0, 90.0, 60.0, 70.0, 200.0, 50.0],
        fails: false,
        deadline_ms: 2000,
        expected: "answer",
    },
    Case {
        description: "a stock hold, resubmitted to two other entries",
        kind: "stock-hold",
        entries: &[0, 2, 4],
        run_ms: &[100.0],
        fails: false,
        deadline_ms: 1500,
        expected: "answer",
    },
    Case {
        description: "a scan match too large for its deadline",
        kind: "scan-match",
        entries: &[0],
        run_ms: &[600.0; 240],
        fails: false,
        deadline_ms: 700,
        expected: "refusal",
    },
    Case {
        description: "a price check that fails",
        kind: "price-check",
        entries: &[1],
        run_ms: &[50.0],
        fails: true,
        deadline_ms: 1000,
        expected: "failure",
    },
];

const SIAM_CASES: &[Case] = &[
    Case {
        description: "a condition check of four tasks",
        kind: "condition-check",
        entries: &[0],
        run_ms: &[80.0, 100.0, 60.0, 120.0],
        fails: false,
        deadline_ms: 1500,
        expected: "answer",
    },
    Case {
        description: "a full quote",
        kind: "full-quote",
        entries: &[2],
        run_ms: &[150.0, 90.0],
        fails: false,
        deadline_ms: 2000,
        expected: "answer",
    },
    Case {
        description: "a serial lookup at the data centre with one entry",
        kind: "serial-lookup",
        entries: &[6],
        run_ms: &[50.0],
        fails: false,
        deadline_ms: 1000,
        expected: "answer",
    },
    Case {
        description: "a payout booking, resubmitted to two other entries",
        kind: "payout-booking",
        entries: &[0, 1, 6],
        run_ms: &[100.0],
        fails: false,
        deadline_ms: 1500,
        expected: "answer",
    },
];

/// Runs the main job of both example deployments, and returns whether all outcomes were as expected and no
/// invariant was violated. With `dir`, the entries write their timelines there.
///
/// # Errors
///
/// Returns an error if a cluster cannot be started or does not answer.
pub async fn run(dir: Option<PathBuf>) -> anyhow::Result<bool> {
    let mut ok = true;
    for deployment in ALL {
        ok &= run_one(deployment, dir.as_deref()).await?;
    }
    println!(
        "{}",
        if ok {
            "All invariants held."
        } else {
            "An invariant was violated."
        }
    );
    Ok(ok)
}

async fn run_one(deployment: &Deployment, dir: Option<&Path>) -> anyhow::Result<bool> {
    let cluster = Cluster::start(deployment, ENDPOINTS, dir, Policy::default()).await?;
    println!(
        "{}: {} entries in {} data centres, {ENDPOINTS} endpoints",
        deployment.name,
        cluster.nodes.len(),
        deployment.dcs.len()
    );
    let cases = if deployment.name == CONDOR.name {
        CONDOR_CASES
    } else {
        SIAM_CASES
    };
    let mut ok = true;
    for case in cases {
        ok &= run_case(&cluster, case).await?;
    }
    ok &= report(&cluster).await?;
    cluster.stop().await?;
    Ok(ok)
}

async fn run_case(cluster: &Cluster, case: &Case) -> anyhow::Result<bool> {
    let key = generate_key(Some(cluster.dc_name(case.entries[0])));
    let tasks: Vec<Value> = case
        .run_ms
        .iter()
        .map(|run_ms| json!({ "run_ms": run_ms, "fail": case.fails }))
        .collect();
    let started_at = Instant::now();
    let deadline = Duration::from_millis(case.deadline_ms);
    let submissions = case.entries.iter().map(|entry| {
        let addr = cluster.caller_addr(*entry);
        cluster
            .caller
            .submit(addr, &key, case.kind, deadline, &tasks)
    });
    let responses = futures_util::future::join_all(submissions).await;
    let elapsed_ms = started_at.elapsed().as_secs_f64() * 1000.0;
    let responses: Vec<_> = responses.into_iter().collect::<anyhow::Result<_>>()?;
    let first = &responses[0];
    let identical = responses.iter().all(|response| response == first);
    let starts = cluster.fleet.execution_log().key_starts(&key);
    let longest_ms = case.run_ms.iter().copied().fold(0.0, f64::max);
    println!("  {}: {}", case.description, first.outcome());
    println!(
        "    status {}, took {elapsed_ms:.1} ms, the longest task {longest_ms:.0} ms",
        first.status
    );
    println!(
        "    submitters {}, same outcome for all: {identical}, starts {starts}",
        responses.len()
    );
    if let Some(detail) = first.body["detail"].as_str() {
        println!("    {detail}");
    }
    let as_expected = first.outcome() == case.expected;
    let refusal_is_true = first.ran() != "no" || starts == 0;
    if !as_expected {
        println!("    FAILED: expected {}", case.expected);
    }
    Ok(identical && as_expected && refusal_is_true && starts as usize <= case.run_ms.len())
}

async fn report(cluster: &Cluster) -> anyhow::Result<bool> {
    use std::sync::atomic::Ordering::Relaxed;
    let log = cluster.fleet.execution_log();
    let duplicates = log.duplicate_starts();
    let violations = cluster.violations().await?;
    println!(
        "  starts {}, wasted: {} refused as full, {} refused as leaving, {} late; started more than once {}, violations {violations}",
        log.started.load(Relaxed),
        log.refused_full.load(Relaxed),
        log.refused_leaving.load(Relaxed),
        log.late.load(Relaxed),
        duplicates.len(),
    );
    Ok(duplicates.is_empty() && violations == 0)
}
