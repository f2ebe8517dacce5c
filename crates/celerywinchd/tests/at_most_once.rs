//! Tests that, while holders crash, are suspended and lose their state, every task starts at most once, all
//! callers that submit a key get the same outcome, answers are complete, and no job reported as not run has run.

mod harness;

use std::time::{Duration, Instant};

use celerywinch_standin::Mode;
use harness::{Cluster, ClusterConfig, run_test, sleep, submit};
use serde_json::json;

fn two_data_centres() -> ClusterConfig {
    ClusterConfig {
        dcs: vec![("bog-1", 3), ("bog-2", 2)],
        ..ClusterConfig::default()
    }
}

/// Five callers concurrently submit the same key to five entries in two data centres. One entry gets
/// the claim, all callers get the same complete answer, and each task starts once.
#[test]
fn concurrent_submissions_of_a_key_share_one_outcome() {
    run_test(async {
        let cluster = Cluster::start(two_data_centres()).await?;
        for round in 0..10 {
            let key = cluster.generate_key(round % 5);
            let submissions = (0..5).map(|entry| {
                let cluster = &cluster;
                let key = key.clone();
                async move {
                    cluster
                        .submit(entry, &key, "stock-hold", 3000, &[30, 20])
                        .await
                }
            });
            let responses = futures_util::future::join_all(submissions).await;
            let responses: Vec<_> = responses.into_iter().collect::<anyhow::Result<_>>()?;
            assert_eq!(responses[0].outcome(), "answer", "{responses:?}");
            assert!(
                responses.iter().all(|r| *r == responses[0]),
                "{responses:?}"
            );
            assert_eq!(cluster.fleet.execution_log().key_starts(&key), 2);
        }
        cluster.check_invariants().await
    });
}

/// The holder is killed while tasks run. A resubmission to another entry gets a failure with `ran: maybe`
/// at once rather than near the deadline, and no task starts again, also after the holder restarted.
#[test]
fn killed_holder_gives_a_failure_and_no_second_start() {
    run_test(async {
        let mut cluster = Cluster::start(two_data_centres()).await?;
        let key = cluster.generate_key(0);
        let lost = tokio::task::spawn_local({
            let (caller, entry) = (cluster.caller.clone(), cluster.processes[0].caller_addr);
            let key = key.clone();
            async move { submit(&caller, entry, &key, "stock-hold", 9000, &[3000, 3000]).await }
        });
        sleep(300).await;
        assert_eq!(cluster.fleet.execution_log().key_starts(&key), 2);
        cluster.processes[0].kill();
        assert!(
            lost.await?.is_err(),
            "the caller of the killed entry loses its connection"
        );
        let started = Instant::now();
        let response = cluster
            .submit(1, &key, "stock-hold", 9000, &[3000, 3000])
            .await?;
        assert_eq!(response.outcome(), "failure", "{response:?}");
        assert_eq!(response.ran(), "maybe");
        assert!(
            started.elapsed() < Duration::from_secs(4),
            "the failure was reported after {:?}",
            started.elapsed()
        );
        for entry in [2, 3, 4] {
            let again = cluster
                .submit(entry, &key, "stock-hold", 9000, &[3000, 3000])
                .await?;
            assert_eq!(again, response);
        }
        cluster.processes[0].spawn()?;
        sleep(1500).await;
        let again = cluster
            .submit(0, &key, "stock-hold", 9000, &[3000, 3000])
            .await?;
        assert_eq!(again, response);
        assert_eq!(cluster.fleet.execution_log().key_starts(&key), 2);
        cluster.check_invariants().await
    });
}

/// The holder is suspended while a task runs, and other entries settle the key. After it resumes, it starts
/// no further task of the key and reports the settled outcome to its own caller.
#[test]
fn resumed_holder_reports_the_settled_outcome() {
    run_test(async {
        let cluster = Cluster::start(two_data_centres()).await?;
        let key = cluster.generate_key(0);
        let own = tokio::task::spawn_local({
            let (caller, entry) = (cluster.caller.clone(), cluster.processes[0].caller_addr);
            let key = key.clone();
            async move { submit(&caller, entry, &key, "stock-hold", 9000, &[600]).await }
        });
        sleep(200).await;
        cluster.processes[0].suspend();
        let settled = cluster.submit(1, &key, "stock-hold", 9000, &[600]).await?;
        assert_eq!(settled.outcome(), "failure", "{settled:?}");
        assert_eq!(settled.ran(), "maybe");
        cluster.processes[0].resume();
        let own = own.await??;
        assert_eq!(own, settled, "all callers get the same outcome");
        assert_eq!(cluster.fleet.execution_log().key_starts(&key), 1);
        cluster.check_invariants().await
    });
}

/// Two replicas are killed and lose their state, one right after the other. The key that ran is resubmitted
/// to all entries: it never runs again and is never reported as not run.
#[test]
fn key_does_not_rerun_after_two_replicas_lose_their_state() {
    run_test(async {
        let mut cluster = Cluster::start(ClusterConfig::default()).await?;
        let key = cluster.generate_key(0);
        let first = cluster.submit(0, &key, "stock-hold", 3000, &[20]).await?;
        assert_eq!(first.outcome(), "answer");
        for lost in [1, 2] {
            cluster.processes[lost].kill();
            cluster.delete_data(lost).ok();
            cluster.processes[lost].spawn()?;
            cluster
                .wait_for_status(lost, Duration::from_secs(8), |page| page["ready"] == true)
                .await?;
        }
        for entry in 0..3 {
            let again = cluster
                .submit(entry, &key, "stock-hold", 3000, &[20])
                .await?;
            let outcome = again.outcome();
            assert!(again == first || outcome == "undecided", "{again:?}");
        }
        cluster.processes[0].kill();
        for entry in 1..3 {
            let again = cluster
                .submit(entry, &key, "stock-hold", 3000, &[20])
                .await?;
            assert_eq!(again.outcome(), "undecided", "{again:?}");
            assert_eq!(again.ran(), "maybe", "{again:?}");
        }
        assert_eq!(cluster.fleet.execution_log().key_starts(&key), 1);
        let fresh = cluster.generate_key(1);
        let next = cluster.submit(1, &fresh, "stock-hold", 3000, &[20]).await?;
        assert_eq!(
            next.outcome(),
            "answer",
            "new keys are still served: {next:?}"
        );
        cluster.check_invariants().await
    });
}

/// One of eight tasks fails, or the endpoint closes the connection without an answer: the outcome of the job
/// is a failure that says whether it ran, never a partial answer.
#[test]
fn failed_or_lost_task_fails_the_whole_job() {
    run_test(async {
        let cluster = Cluster::start(ClusterConfig {
            endpoints: 2,
            ..ClusterConfig::default()
        })
        .await?;
        let key = cluster.generate_key(0);
        let mut tasks = vec![json!({ "run_ms": 20 }); 8];
        tasks[5] = json!({ "run_ms": 20, "fail": true });
        let deadline = Duration::from_secs(3);
        let entry = cluster.processes[0].caller_addr;
        let failed = cluster
            .caller
            .submit(entry, &key, "scan-match", deadline, &tasks)
            .await?;
        assert_eq!(
            (failed.outcome(), failed.ran()),
            ("failure", "yes"),
            "{failed:?}"
        );
        assert!(failed.body["results"].is_null(), "{failed:?}");
        cluster.fleet.set_mode(0, Mode::Drop);
        cluster.fleet.set_mode(1, Mode::Drop);
        let key = cluster.generate_key(1);
        let lost = cluster
            .submit(1, &key, "scan-match", 3000, &[20, 20])
            .await?;
        assert_eq!(
            (lost.outcome(), lost.ran()),
            ("failure", "maybe"),
            "{lost:?}"
        );
        for index in 0..2 {
            let key = cluster.generate_key(index);
            cluster
                .submit(index, &key, "scan-match", 3000, &[20; 6])
                .await?;
        }
        cluster.check_invariants().await
    });
}

/// Many concurrent callers submit tasks that end in another order than they started. Each caller gets the
/// complete answer to its own request.
#[test]
fn concurrent_callers_get_their_own_answers() {
    run_test(async {
        let cluster = Cluster::start(two_data_centres()).await?;
        let submissions = (0..60_usize).map(|number| {
            let cluster = &cluster;
            async move {
                let key = cluster.generate_key(number % 5);
                let tasks: Vec<_> = (0..3_usize)
                    .map(|task| json!({ "run_ms": (number * 7 + task * 13) % 40, "echo": [number, task] }))
                    .collect();
                let entry = cluster.processes[number % 5].caller_addr;
                let deadline = Duration::from_secs(5);
                let response = cluster
                    .caller
                    .submit(entry, &key, "price-check", deadline, &tasks)
                    .await?;
                assert_eq!(response.outcome(), "answer", "{response:?}");
                for task in 0..3 {
                    assert_eq!(response.body["results"][task]["echo"], json!([number, task]));
                }
                anyhow::Ok(())
            }
        });
        for done in futures_util::future::join_all(submissions).await {
            done?;
        }
        cluster.check_invariants().await
    });
}

/// Jobs that are refused (more load than fits their deadlines, too large, no endpoint) never run, not even
/// later.
#[test]
fn refused_jobs_never_run() {
    run_test(async {
        let cluster = Cluster::start(ClusterConfig {
            endpoints: 1,
            ..ClusterConfig::default()
        })
        .await?;
        let mut refused = Vec::new();
        let submissions = (0..40).map(|number| {
            let cluster = &cluster;
            async move {
                let key = cluster.generate_key(0);
                let response = cluster
                    .submit(number % 3, &key, "price-check", 400, &[150; 4])
                    .await?;
                anyhow::Ok((key, response))
            }
        });
        for done in futures_util::future::join_all(submissions).await {
            let (key, response) = done?;
            if response.outcome() == "refusal" {
                assert_eq!(response.ran(), "no");
                assert!(
                    response.body["retry_after_ms"].as_u64().is_some(),
                    "{response:?}"
                );
                refused.push(key);
            }
        }
        assert!(refused.len() > 10, "only {} were refused", refused.len());
        let key = cluster.generate_key(0);
        let large = cluster
            .submit(0, &key, "scan-match", 100, &[600; 200])
            .await?;
        assert_eq!(large.body["reason"], "too_large", "{large:?}");
        refused.push(key);
        cluster.fleet.stop_announcing(0);
        cluster
            .wait_for_status(0, Duration::from_secs(10), |page| {
                page["endpoints_known"] == 0
            })
            .await?;
        let key = cluster.generate_key(0);
        let none = cluster.submit(0, &key, "price-check", 1000, &[10]).await?;
        assert_eq!(none.body["reason"], "no_endpoint", "{none:?}");
        refused.push(key);
        sleep(1000).await;
        for key in &refused {
            assert_eq!(
                cluster.fleet.execution_log().key_starts(key),
                0,
                "{key} ran"
            );
        }
        cluster.check_invariants().await
    });
}

/// Many jobs are cancelled while queued or running. A job that had started ends with a failure; one that had
/// not is refused and never starts.
#[test]
fn cancelled_jobs_report_whether_they_ran() {
    run_test(async {
        let cluster = Cluster::start(ClusterConfig {
            endpoints: 1,
            slots: 4,
            ..ClusterConfig::default()
        })
        .await?;
        let keys: Vec<_> = (0..30).map(|_| cluster.generate_key(0)).collect();
        let submissions = keys.iter().enumerate().map(|(number, key)| {
            let cluster = &cluster;
            async move {
                let entry = number % 3;
                let response = cluster
                    .submit(entry, key, "price-check", 9000, &[800])
                    .await?;
                anyhow::Ok((key.clone(), response))
            }
        });
        let cancel = async {
            sleep(300).await;
            cluster
                .caller
                .cancel(cluster.processes[0].caller_addr, &keys)
                .await
        };
        let all = futures_util::future::join_all(submissions);
        let started = Instant::now();
        let (responses, cancelled) = futures_util::future::join(all, cancel).await;
        assert_eq!(cancelled?.status, 200);
        assert!(
            started.elapsed() < Duration::from_secs(3),
            "took {:?}",
            started.elapsed()
        );
        sleep(1200).await;
        for done in responses {
            let (key, response) = done?;
            let starts = cluster.fleet.execution_log().key_starts(&key);
            match response.ran() {
                "no" => assert_eq!(starts, 0, "{key}: {response:?}"),
                "maybe" | "yes" => assert!(starts <= 1, "{key}: {response:?}"),
                other => panic!("{key}: {other:?} {response:?}"),
            }
        }
        cluster.check_invariants().await
    });
}
