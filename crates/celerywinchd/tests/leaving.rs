//! Endpoints that leave get no new work, and planned stops cut nothing off.

mod harness;

use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use harness::{Plan, World, run, sleep};

/// An endpoint says at one entry that it leaves, while callers keep all entries busy. Two seconds
/// later no entry sends it anything, and what it was running has been finished and answered.
#[test]
fn leaving_endpoint_gets_no_new_work() {
    run(async {
        let world = World::start(Plan::default()).await?;
        let began = Instant::now();
        let mut left_at = None;
        let mut refused_by_then = 0;
        while began.elapsed() < Duration::from_millis(4500) {
            let wave = (0..6).map(|number| {
                let world = &world;
                async move {
                    let key = world.key(0);
                    world
                        .submit(number % 3, &key, "price-check", 4000, &[40; 3])
                        .await
                }
            });
            for response in futures_util::future::join_all(wave).await {
                let response = response?;
                assert_eq!(response.outcome(), "answer", "{response:?}");
            }
            if left_at.is_none() && began.elapsed() > Duration::from_millis(500) {
                world.fleet.set_leaving(0);
                left_at = Some(Instant::now());
            }
            let two_seconds = left_at.is_some_and(|at| at.elapsed() < Duration::from_secs(2));
            if two_seconds {
                refused_by_then = world.fleet.execution_log().refused_leaving.load(Relaxed);
            }
        }
        let refused = world.fleet.execution_log().refused_leaving.load(Relaxed);
        assert_eq!(refused, refused_by_then, "work was sent after two seconds");
        world.check().await
    });
}

/// The entry that took an endpoint's last announcement is killed at once: the others know that the
/// endpoint is leaving.
#[test]
fn leaving_survives_the_loss_of_the_entry_that_heard_of_it() {
    run(async {
        let mut world = World::start(Plan::default()).await?;
        world.fleet.set_leaving(1);
        sleep(700).await;
        world.processes[0].kill();
        for entry in [1, 2] {
            world
                .wait_status(entry, Duration::from_millis(1500), |page| {
                    let endpoints = page["endpoints"].as_array().cloned().unwrap_or_default();
                    endpoints
                        .iter()
                        .any(|endpoint| endpoint["state"] == "leaving")
                })
                .await?;
        }
        world.check().await
    });
}

/// SIGTERM while jobs run at the entry: all of them are answered whole, the balancer is told not to
/// send more, the process ends with exit code 0 and the rest serve on.
#[test]
fn planned_stop_cuts_nothing_off() {
    run(async {
        let mut world = World::start(Plan::default()).await?;
        let keys: Vec<_> = (0..12).map(|_| world.key(0)).collect();
        let in_flight: Vec<_> = keys
            .iter()
            .map(|key| {
                let (caller, entry) = (world.caller.clone(), world.processes[0].callers);
                let key = key.clone();
                tokio::task::spawn_local(async move {
                    harness::submit(&caller, entry, &key, "scan-match", 6000, &[900, 700]).await
                })
            })
            .collect();
        sleep(300).await;
        world.processes[0].terminate();
        sleep(100).await;
        let ready = world
            .caller
            .get(world.processes[0].callers, "/readyz", None)
            .await;
        assert!(
            ready.is_err() || ready.is_ok_and(|r| r.status == 503),
            "still ready"
        );
        for response in in_flight {
            let response = response.await??;
            assert_eq!(response.outcome(), "answer", "{response:?}");
        }
        let code = world.processes[0].ended(Duration::from_secs(8)).await?;
        assert_eq!(code, Some(0));
        for key in &keys {
            assert_eq!(world.fleet.execution_log().key_starts(key), 2);
            let again = world
                .submit(1, key, "scan-match", 6000, &[900, 700])
                .await?;
            assert_eq!(again.outcome(), "answer", "{again:?}");
        }
        world.check().await
    });
}
