//! Every task starts at most once, all submitters of a key get one outcome, answers are whole, and
//! "not run" is true: while holders die, freeze, and lose their memory.

mod harness;

use std::time::{Duration, Instant};

use celerywinch_standin::Mode;
use harness::{Plan, World, run, sleep, submit};
use serde_json::json;

fn two_centres() -> Plan {
    Plan {
        dcs: vec![("bog-1", 3), ("bog-2", 2)],
        ..Plan::default()
    }
}

/// Five callers submit the same key to five entries in two data centres at the same moment. One
/// entry gets the claim; all callers get the same whole answer, and each task starts once.
#[test]
fn same_key_at_the_same_moment_everywhere() {
    run(async {
        let world = World::start(two_centres()).await?;
        for round in 0..10 {
            let key = world.key(round % 5);
            let submissions = (0..5).map(|entry| {
                let world = &world;
                let key = key.clone();
                async move {
                    world
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
            assert_eq!(world.fleet.execution_log().key_starts(&key), 2);
        }
        world.check().await
    });
}

/// The holder is killed while tasks run. A resubmission at another entry is told a failure that
/// says the work may have run, at once and not near the deadline, and nothing starts again.
#[test]
fn holder_is_killed_in_mid_flight() {
    run(async {
        let mut world = World::start(two_centres()).await?;
        let key = world.key(0);
        let lost = tokio::task::spawn_local({
            let (caller, entry) = (world.caller.clone(), world.processes[0].callers);
            let key = key.clone();
            async move { submit(&caller, entry, &key, "stock-hold", 9000, &[3000, 3000]).await }
        });
        sleep(300).await;
        assert_eq!(world.fleet.execution_log().key_starts(&key), 2);
        world.processes[0].kill();
        assert!(lost.await?.is_err(), "its own caller loses the connection");
        let began = Instant::now();
        let response = world
            .submit(1, &key, "stock-hold", 9000, &[3000, 3000])
            .await?;
        assert_eq!(response.outcome(), "failure", "{response:?}");
        assert_eq!(response.ran(), "maybe");
        assert!(
            began.elapsed() < Duration::from_secs(4),
            "told after {:?}",
            began.elapsed()
        );
        for entry in [2, 3, 4] {
            let again = world
                .submit(entry, &key, "stock-hold", 9000, &[3000, 3000])
                .await?;
            assert_eq!(again, response);
        }
        world.processes[0].spawn()?;
        sleep(1500).await;
        let again = world
            .submit(0, &key, "stock-hold", 9000, &[3000, 3000])
            .await?;
        assert_eq!(again, response);
        assert_eq!(world.fleet.execution_log().key_starts(&key), 2);
        world.check().await
    });
}

/// The holder freezes with a task under way; others settle the key. When it thaws, it starts
/// nothing more for the key and tells its own caller the outcome that was settled.
#[test]
fn holder_freezes_and_thaws() {
    run(async {
        let world = World::start(two_centres()).await?;
        let key = world.key(0);
        let own = tokio::task::spawn_local({
            let (caller, entry) = (world.caller.clone(), world.processes[0].callers);
            let key = key.clone();
            async move { submit(&caller, entry, &key, "stock-hold", 9000, &[600]).await }
        });
        sleep(200).await;
        world.processes[0].freeze();
        let settled = world.submit(1, &key, "stock-hold", 9000, &[600]).await?;
        assert_eq!(settled.outcome(), "failure", "{settled:?}");
        assert_eq!(settled.ran(), "maybe");
        world.processes[0].thaw();
        let own = own.await??;
        assert_eq!(own, settled, "one outcome for all");
        assert_eq!(world.fleet.execution_log().key_starts(&key), 1);
        world.check().await
    });
}

/// A replica is killed and loses its memory, then a second one right after: the key that ran is
/// resubmitted everywhere and never runs again, nor is it said that it did not run.
#[test]
fn two_replicas_lose_their_memory_one_after_the_other() {
    run(async {
        let mut world = World::start(Plan::default()).await?;
        let key = world.key(0);
        let first = world.submit(0, &key, "stock-hold", 3000, &[20]).await?;
        assert_eq!(first.outcome(), "answer");
        for lost in [1, 2] {
            world.processes[lost].kill();
            world.lose_disk(lost).ok();
            world.processes[lost].spawn()?;
            world
                .wait_status(lost, Duration::from_secs(8), |page| page["ready"] == true)
                .await?;
        }
        for entry in 0..3 {
            let again = world.submit(entry, &key, "stock-hold", 3000, &[20]).await?;
            let outcome = again.outcome();
            assert!(again == first || outcome == "undecided", "{again:?}");
        }
        world.processes[0].kill();
        for entry in 1..3 {
            let again = world.submit(entry, &key, "stock-hold", 3000, &[20]).await?;
            assert_eq!(again.outcome(), "undecided", "{again:?}");
            assert_eq!(again.ran(), "maybe", "{again:?}");
        }
        assert_eq!(world.fleet.execution_log().key_starts(&key), 1);
        let fresh = world.key(1);
        let next = world.submit(1, &fresh, "stock-hold", 3000, &[20]).await?;
        assert_eq!(next.outcome(), "answer", "new keys are served on: {next:?}");
        world.check().await
    });
}

/// One task of eight fails, or its endpoint closes the connection without an answer: the job is a
/// failure that says whether it ran, never a part of an answer.
#[test]
fn answer_is_whole_or_the_job_failed() {
    run(async {
        let world = World::start(Plan {
            endpoints: 2,
            ..Plan::default()
        })
        .await?;
        let key = world.key(0);
        let mut tasks = vec![json!({ "run_ms": 20 }); 8];
        tasks[5] = json!({ "run_ms": 20, "fail": true });
        let deadline = Duration::from_secs(3);
        let entry = world.processes[0].callers;
        let failed = world
            .caller
            .submit(entry, &key, "scan-match", deadline, &tasks)
            .await?;
        assert_eq!(
            (failed.outcome(), failed.ran()),
            ("failure", "yes"),
            "{failed:?}"
        );
        assert!(failed.body["results"].is_null(), "{failed:?}");
        world.fleet.set_mode(0, Mode::Drop);
        world.fleet.set_mode(1, Mode::Drop);
        let key = world.key(1);
        let lost = world.submit(1, &key, "scan-match", 3000, &[20, 20]).await?;
        assert_eq!(
            (lost.outcome(), lost.ran()),
            ("failure", "maybe"),
            "{lost:?}"
        );
        for index in 0..2 {
            let key = world.key(index);
            world
                .submit(index, &key, "scan-match", 3000, &[20; 6])
                .await?;
        }
        world.check().await
    });
}

/// Many callers at once, with tasks that end in another order than they began: each gets the whole
/// answer to its own request.
#[test]
fn every_caller_gets_its_own_answer() {
    run(async {
        let world = World::start(two_centres()).await?;
        let submissions = (0..60_usize).map(|number| {
            let world = &world;
            async move {
                let key = world.key(number % 5);
                let tasks: Vec<_> = (0..3_usize)
                    .map(|task| json!({ "run_ms": (number * 7 + task * 13) % 40, "echo": [number, task] }))
                    .collect();
                let entry = world.processes[number % 5].callers;
                let deadline = Duration::from_secs(5);
                let response = world
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
        world.check().await
    });
}

/// Jobs that are refused (too many at once for their deadlines, too large, no endpoint left) never
/// run, also not later.
#[test]
fn refused_work_never_runs() {
    run(async {
        let world = World::start(Plan {
            endpoints: 1,
            ..Plan::default()
        })
        .await?;
        let mut refused = Vec::new();
        let submissions = (0..40).map(|number| {
            let world = &world;
            async move {
                let key = world.key(0);
                let response = world
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
        let key = world.key(0);
        let large = world
            .submit(0, &key, "scan-match", 100, &[600; 200])
            .await?;
        assert_eq!(large.body["reason"], "too_large", "{large:?}");
        refused.push(key);
        world.fleet.stop_announcing(0);
        world
            .wait_status(0, Duration::from_secs(10), |page| {
                page["endpoints_known"] == 0
            })
            .await?;
        let key = world.key(0);
        let none = world.submit(0, &key, "price-check", 1000, &[10]).await?;
        assert_eq!(none.body["reason"], "no_endpoint", "{none:?}");
        refused.push(key);
        sleep(1000).await;
        for key in &refused {
            assert_eq!(world.fleet.execution_log().key_starts(key), 0, "{key} ran");
        }
        world.check().await
    });
}

/// A wave of cancels for queued and running work: what had started ends in a failure, what had not
/// is refused and never starts.
#[test]
fn cancelled_work_ends_in_one_truthful_outcome() {
    run(async {
        let world = World::start(Plan {
            endpoints: 1,
            slots: 4,
            ..Plan::default()
        })
        .await?;
        let keys: Vec<_> = (0..30).map(|_| world.key(0)).collect();
        let submissions = keys.iter().enumerate().map(|(number, key)| {
            let world = &world;
            async move {
                let entry = number % 3;
                let response = world
                    .submit(entry, key, "price-check", 9000, &[800])
                    .await?;
                anyhow::Ok((key.clone(), response))
            }
        });
        let cancel = async {
            sleep(300).await;
            world.caller.cancel(world.processes[0].callers, &keys).await
        };
        let all = futures_util::future::join_all(submissions);
        let began = Instant::now();
        let (responses, cancelled) = futures_util::future::join(all, cancel).await;
        assert_eq!(cancelled?.status, 200);
        assert!(
            began.elapsed() < Duration::from_secs(3),
            "took {:?}",
            began.elapsed()
        );
        sleep(1200).await;
        for done in responses {
            let (key, response) = done?;
            let starts = world.fleet.execution_log().key_starts(&key);
            match response.ran() {
                "no" => assert_eq!(starts, 0, "{key}: {response:?}"),
                "maybe" | "yes" => assert!(starts <= 1, "{key}: {response:?}"),
                other => panic!("{key}: {other:?} {response:?}"),
            }
        }
        world.check().await
    });
}
