//! The main job, with nothing else set up.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use celerywinch_dispatch::Policy;
use celerywinch_standin::fresh_key;
use serde_json::{Value, json};

use crate::cluster::Cluster;
use crate::deployment::{ALL, CONDOR, Deployment};

/// Endpoints of a trial.
const ENDPOINTS: usize = 8;

/// One submission of a trial.
struct Case {
    what: &'static str,
    kind: &'static str,
    /// Entries it is sent to at the same moment, with the same key.
    entries: &'static [usize],
    run_ms: &'static [f64],
    fail: bool,
    deadline_ms: u64,
    wanted: &'static str,
}

const CONDOR_CASES: &[Case] = &[
    Case {
        what: "a price check",
        kind: "price-check",
        entries: &[0],
        run_ms: &[60.0],
        fail: false,
        deadline_ms: 1000,
        wanted: "answer",
    },
    Case {
        what: "a scan match of eight tasks",
        kind: "scan-match",
        entries: &[1],
        run_ms: &[50.0, 80.0, 120.0, 90.0, 60.0, 70.0, 200.0, 50.0],
        fail: false,
        deadline_ms: 2000,
        wanted: "answer",
    },
    Case {
        what: "a stock hold, resubmitted to two other entries",
        kind: "stock-hold",
        entries: &[0, 2, 4],
        run_ms: &[100.0],
        fail: false,
        deadline_ms: 1500,
        wanted: "answer",
    },
    Case {
        what: "a scan match too large for its deadline",
        kind: "scan-match",
        entries: &[0],
        run_ms: &[600.0; 240],
        fail: false,
        deadline_ms: 700,
        wanted: "refusal",
    },
    Case {
        what: "a price check that fails",
        kind: "price-check",
        entries: &[1],
        run_ms: &[50.0],
        fail: true,
        deadline_ms: 1000,
        wanted: "failure",
    },
];

const SIAM_CASES: &[Case] = &[
    Case {
        what: "a condition check of four tasks",
        kind: "condition-check",
        entries: &[0],
        run_ms: &[80.0, 100.0, 60.0, 120.0],
        fail: false,
        deadline_ms: 1500,
        wanted: "answer",
    },
    Case {
        what: "a full quote",
        kind: "full-quote",
        entries: &[2],
        run_ms: &[150.0, 90.0],
        fail: false,
        deadline_ms: 2000,
        wanted: "answer",
    },
    Case {
        what: "a serial lookup at the data centre with one entry",
        kind: "serial-lookup",
        entries: &[6],
        run_ms: &[50.0],
        fail: false,
        deadline_ms: 1000,
        wanted: "answer",
    },
    Case {
        what: "a payout booking, resubmitted to two other entries",
        kind: "payout-booking",
        entries: &[0, 1, 6],
        run_ms: &[100.0],
        fail: false,
        deadline_ms: 1500,
        wanted: "answer",
    },
];

/// Runs the main job of both deployments; true if everything held. Time lines are written to
/// `folder`, if there is one.
///
/// # Errors
///
/// A part could not be started or did not answer.
pub async fn run(folder: Option<PathBuf>) -> anyhow::Result<bool> {
    let mut held = true;
    for deployment in ALL {
        held &= run_one(deployment, folder.as_deref()).await?;
    }
    println!(
        "{}",
        if held {
            "All invariants held."
        } else {
            "An invariant was violated."
        }
    );
    Ok(held)
}

async fn run_one(deployment: &Deployment, folder: Option<&Path>) -> anyhow::Result<bool> {
    let cluster = Cluster::start(deployment, ENDPOINTS, folder, Policy::default()).await?;
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
    let mut held = true;
    for case in cases {
        held &= run_case(&cluster, case).await?;
    }
    held &= report(&cluster).await?;
    cluster.stop().await?;
    Ok(held)
}

async fn run_case(cluster: &Cluster, case: &Case) -> anyhow::Result<bool> {
    let key = fresh_key(Some(cluster.dc_name(case.entries[0])));
    let tasks: Vec<Value> = case
        .run_ms
        .iter()
        .map(|run_ms| json!({ "run_ms": run_ms, "fail": case.fail }))
        .collect();
    let began = Instant::now();
    let deadline = Duration::from_millis(case.deadline_ms);
    let submissions = case.entries.iter().map(|entry| {
        let addr = cluster.caller_addr(*entry);
        cluster
            .caller
            .submit(addr, &key, case.kind, deadline, &tasks)
    });
    let responses = futures_util::future::join_all(submissions).await;
    let took = began.elapsed().as_secs_f64() * 1000.0;
    let responses: Vec<_> = responses.into_iter().collect::<anyhow::Result<_>>()?;
    let first = &responses[0];
    let same = responses.iter().all(|response| response == first);
    let starts = cluster.fleet.ledger().starts_of(&key);
    let ideal = case.run_ms.iter().copied().fold(0.0, f64::max);
    println!("  {}: {}", case.what, first.outcome());
    println!(
        "    status {}, took {took:.1} ms, the longest task {ideal:.0} ms",
        first.status
    );
    println!(
        "    submitters {}, all told the same: {same}, starts {starts}",
        responses.len()
    );
    if let Some(detail) = first.body["detail"].as_str() {
        println!("    {detail}");
    }
    let expected = first.outcome() == case.wanted;
    let true_refusal = first.ran() != "no" || starts == 0;
    if !expected {
        println!("    WRONG: wanted {}", case.wanted);
    }
    Ok(same && expected && true_refusal && starts as usize <= case.run_ms.len())
}

async fn report(cluster: &Cluster) -> anyhow::Result<bool> {
    use std::sync::atomic::Ordering::Relaxed;
    let ledger = cluster.fleet.ledger();
    let doubled = ledger.doubled();
    let violations = cluster.violations().await?;
    println!(
        "  starts {}, wasted: {} refused as full, {} refused as leaving, {} late; doubled {}, violations {violations}",
        ledger.started.load(Relaxed),
        ledger.refused_full.load(Relaxed),
        ledger.refused_leaving.load(Relaxed),
        ledger.late.load(Relaxed),
        doubled.len(),
    );
    Ok(doubled.is_empty() && violations == 0)
}
