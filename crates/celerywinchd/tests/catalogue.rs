//! Tests that an accepted catalogue is in force at every instance within seconds and never reverts.

mod harness;

use std::time::{Duration, Instant};

use harness::{Cluster, ClusterConfig, run_test, sleep};
use serde_json::Value;

fn config() -> ClusterConfig {
    ClusterConfig {
        dcs: vec![("bog-1", 3), ("bog-2", 2)],
        endpoints: 1,
        keepers: 3,
        diskless: &[3, 4],
        ..ClusterConfig::default()
    }
}

/// Operators concurrently change version 1 at different instances. Exactly one change is accepted, the
/// others are rejected with the ID of the accepted one, and that one is in force everywhere within 5 s.
#[test]
fn exactly_one_of_concurrent_changes_is_accepted() {
    run_test(async {
        let cluster = Cluster::start(config()).await?;
        let edits = (0..5).map(|index| {
            let change = format!("race-{index}");
            let team = format!("team-{index}");
            let cluster = &cluster;
            async move { cluster.edit_catalogue(index, &change, 1, &team).await }
        });
        let started = Instant::now();
        let responses = futures_util::future::join_all(edits).await;
        let responses: Vec<_> = responses.into_iter().collect::<anyhow::Result<_>>()?;
        let accepted: Vec<_> = (0..5)
            .filter(|index| responses[*index].status == 200)
            .collect();
        assert_eq!(accepted.len(), 1, "{responses:?}");
        let winner = format!("race-{}", accepted[0]);
        for (index, response) in responses.iter().enumerate() {
            if index != accepted[0] {
                assert_eq!(response.status, 409, "{response:?}");
                let detail = response.body["detail"].as_str().unwrap_or("");
                assert!(detail.contains(&winner), "{detail}");
            }
        }
        cluster.wait_in_force(&[0, 1, 2, 3, 4], 2, 5000).await?;
        println!("in force everywhere after {:?}", started.elapsed());
        let team = format!("team-{}", accepted[0]);
        for index in 0..5 {
            let catalogue = cluster.catalogue(index).await?;
            assert_ne!(catalogue["catalogue"]["teams"][&team], Value::Null);
        }
        cluster.check_invariants().await
    });
}

/// The leader is killed right after it accepted a change. The operator retries the change at another instance,
/// as after a lost answer, and gets the first answer rather than a conflict with its own change.
#[test]
fn retried_change_gets_its_first_answer_after_a_leader_crash() {
    run_test(async {
        let mut cluster = Cluster::start(config()).await?;
        let leader = cluster.wait_for_leader(&[0, 1, 2]).await?;
        let first = cluster
            .edit_catalogue(leader, "change-a", 1, "team-a")
            .await?;
        assert_eq!(first.status, 200, "{first:?}");
        cluster.processes[leader].kill();
        let started = Instant::now();
        let other = (leader + 1) % 3;
        let again = cluster
            .edit_catalogue(other, "change-a", 1, "team-a")
            .await?;
        assert_eq!(again, first);
        let next = cluster.edit_catalogue(4, "change-b", 2, "team-b").await?;
        assert_eq!(next.status, 200, "{next:?}");
        println!(
            "a change was accepted {:?} after the leader was killed",
            started.elapsed()
        );
        cluster.processes[leader].spawn()?;
        cluster.wait_in_force(&[0, 1, 2, 3, 4], 3, 8000).await?;
        cluster.check_invariants().await
    });
}

/// All keepers are killed at once and restart. All accepted changes are preserved.
#[test]
fn accepted_changes_survive_a_restart_of_all_keepers() {
    run_test(async {
        let mut cluster = Cluster::start(config()).await?;
        for version in 1..40 {
            let change = format!("change-{version}");
            let response = cluster
                .edit_catalogue(version % 5, &change, version as u64, &change)
                .await?;
            assert_eq!(response.status, 200, "{response:?}");
        }
        for index in 0..3 {
            cluster.processes[index].kill();
        }
        for index in 0..3 {
            cluster.processes[index].spawn()?;
        }
        cluster.wait_for_leader(&[0, 1, 2]).await?;
        cluster.wait_in_force(&[0, 1, 2, 3, 4], 40, 8000).await?;
        let next = cluster.edit_catalogue(0, "after", 40, "after").await?;
        assert_eq!(next.status, 200, "{next:?}");
        cluster.check_invariants().await
    });
}

/// A keeper loses its disk, restarts empty and becomes a voter again; right then another keeper is lost for
/// good. No accepted change is missing, and further changes are accepted.
#[test]
fn accepted_changes_survive_a_keeper_loss_after_a_repair() {
    run_test(async {
        let mut cluster = Cluster::start(config()).await?;
        for version in 1..6_u64 {
            let change = format!("change-{version}");
            let response = cluster.edit_catalogue(0, &change, version, &change).await?;
            assert_eq!(response.status, 200, "{response:?}");
        }
        let leader = cluster.wait_for_leader(&[0, 1, 2]).await?;
        let lost = (leader + 1) % 3;
        let second = (leader + 2) % 3;
        cluster.processes[lost].kill();
        cluster.delete_data(lost)?;
        cluster.processes[lost].spawn()?;
        let started = Instant::now();
        loop {
            let page = cluster.keeper_status(leader).await?;
            let voters = page["voters"].as_array().map_or(0, Vec::len);
            let restarted = cluster.keeper_status(lost).await.unwrap_or_default();
            if voters == 3 && restarted["version"] == 6 {
                break;
            }
            anyhow::ensure!(
                started.elapsed() < Duration::from_secs(15),
                "the keeper did not become a voter again: {page}"
            );
            sleep(50).await;
        }
        cluster.processes[second].kill();
        let next = cluster.edit_catalogue(lost, "after", 6, "after").await?;
        assert_eq!(next.status, 200, "{next:?}");
        cluster
            .wait_in_force(&[leader, lost, 3, 4], 7, 8000)
            .await?;
        cluster.check_invariants().await
    });
}

/// Versions never decrease for readers at any instance, while changes are made, instances are killed, and an
/// instance without a disk restarts in a partitioned data centre.
#[test]
fn versions_never_decrease() {
    run_test(async {
        let mut cluster = Cluster::start(ClusterConfig {
            relays: true,
            ..config()
        })
        .await?;
        let mut last_versions = [0_u64; 5];
        let mut version = 1;
        for round in 0..12_u64 {
            let change = format!("change-{round}");
            let response = cluster
                .edit_catalogue((round % 3) as usize, &change, version, &change)
                .await;
            // The request fails if the instance is just restarting.
            if let Ok(response) = response
                && response.status == 200
            {
                version = response.body["version"].as_u64().unwrap_or(version);
            }
            match round {
                2 => cluster.set_partitioned(&[3, 4], &[0, 1, 2], true),
                4 => {
                    // This instance has no disk and is partitioned: only its neighbour knows the version in force.
                    cluster.processes[4].kill();
                    cluster.processes[4].spawn()?;
                    let neighbour = cluster.catalogue_version(3).await;
                    cluster
                        .wait_for_status(4, Duration::from_secs(8), |page| page["ready"] == true)
                        .await?;
                    assert!(
                        cluster.catalogue_version(4).await >= neighbour,
                        "the version decreased after the restart"
                    );
                }
                6 => cluster.set_partitioned(&[3, 4], &[0, 1, 2], false),
                8 => {
                    cluster.processes[0].kill();
                    cluster.processes[0].spawn()?;
                }
                _ => {}
            }
            for (index, last) in last_versions.iter_mut().enumerate() {
                let Ok(page) = cluster.status(index).await else {
                    continue;
                };
                let now = page["catalogue_version"].as_u64().unwrap_or(0);
                if page["ready"] == true {
                    assert!(now >= *last, "instance {index} went from {last} to {now}");
                    *last = now;
                }
            }
        }
        cluster
            .wait_in_force(&[0, 1, 2, 3, 4], version, 8000)
            .await?;
        assert!(version > 8, "too few changes were accepted: {version}");
        cluster.check_invariants().await
    });
}
