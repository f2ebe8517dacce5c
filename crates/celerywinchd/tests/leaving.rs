//! Tests that leaving endpoints get no new tasks, and that a graceful stop interrupts no job.

mod harness;

use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use harness::{Cluster, ClusterConfig, run_test, sleep};

/// An endpoint announces to one entry that it is leaving, while callers keep all entries busy. After two
/// seconds no entry sends it any task, and the tasks that it was running have been completed and answered.
#[test]
fn leaving_endpoint_gets_no_new_tasks() {
    run_test(async {
        let cluster = Cluster::start(ClusterConfig::default()).await?;
        let started = Instant::now();
        let mut leaving_since = None;
        let mut refused_within_limit = 0;
        while started.elapsed() < Duration::from_millis(4500) {
            let wave = (0..6).map(|number| {
                let cluster = &cluster;
                async move {
                    let key = cluster.generate_key(0);
                    cluster
                        .submit(number % 3, &key, "price-check", 4000, &[40; 3])
                        .await
                }
            });
            for response in futures_util::future::join_all(wave).await {
                let response = response?;
                assert_eq!(response.outcome(), "answer", "{response:?}");
            }
            if leaving_since.is_none() && started.elapsed() > Duration::from_millis(500) {
                cluster.fleet.set_leaving(0);
                leaving_since = Some(Instant::now());
            }
            let within_limit =
                leaving_since.is_some_and(|at| at.elapsed() < Duration::from_secs(2));
            if within_limit {
                refused_within_limit = cluster.fleet.execution_log().refused_leaving.load(Relaxed);
            }
        }
        let refused = cluster.fleet.execution_log().refused_leaving.load(Relaxed);
        assert_eq!(
            refused, refused_within_limit,
            "tasks were sent to the leaving endpoint after two seconds"
        );
        cluster.check_invariants().await
    });
}

/// The entry that received the last announcement of an endpoint is killed soon after it. The other entries
/// know that the endpoint is leaving.
#[test]
fn leaving_state_survives_the_entry_that_received_it() {
    run_test(async {
        let mut cluster = Cluster::start(ClusterConfig::default()).await?;
        cluster.fleet.set_leaving(1);
        sleep(700).await;
        cluster.processes[0].kill();
        for entry in [1, 2] {
            cluster
                .wait_for_status(entry, Duration::from_millis(1500), |page| {
                    let endpoints = page["endpoints"].as_array().cloned().unwrap_or_default();
                    endpoints
                        .iter()
                        .any(|endpoint| endpoint["state"] == "leaving")
                })
                .await?;
        }
        cluster.check_invariants().await
    });
}

/// An entry gets SIGTERM while it has running jobs. All of them get complete answers, the readiness check
/// fails, the process exits with code 0, and the other entries still serve the keys.
#[test]
fn graceful_stop_completes_jobs_in_flight() {
    run_test(async {
        let mut cluster = Cluster::start(ClusterConfig::default()).await?;
        let keys: Vec<_> = (0..12).map(|_| cluster.generate_key(0)).collect();
        let in_flight: Vec<_> = keys
            .iter()
            .map(|key| {
                let (caller, entry) = (cluster.caller.clone(), cluster.processes[0].caller_addr);
                let key = key.clone();
                tokio::task::spawn_local(async move {
                    harness::submit(&caller, entry, &key, "scan-match", 6000, &[900, 700]).await
                })
            })
            .collect();
        sleep(300).await;
        cluster.processes[0].terminate();
        sleep(100).await;
        let ready = cluster
            .caller
            .get(cluster.processes[0].caller_addr, "/readyz", None)
            .await;
        assert!(
            ready.is_err() || ready.is_ok_and(|r| r.status == 503),
            "the readiness check still succeeds"
        );
        for response in in_flight {
            let response = response.await??;
            assert_eq!(response.outcome(), "answer", "{response:?}");
        }
        let code = cluster.processes[0]
            .wait_for_exit(Duration::from_secs(8))
            .await?;
        assert_eq!(code, Some(0));
        for key in &keys {
            assert_eq!(cluster.fleet.execution_log().key_starts(key), 2);
            let again = cluster
                .submit(1, key, "scan-match", 6000, &[900, 700])
                .await?;
            assert_eq!(again.outcome(), "answer", "{again:?}");
        }
        cluster.check_invariants().await
    });
}
