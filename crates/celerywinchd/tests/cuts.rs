//! Tests of partitions, one-way loss and blackholed connections between instances, also combined with crashes.

mod harness;

use std::time::{Duration, Instant};

use celerywinch_standin::{Direction, generate_key};
use harness::{Cluster, ClusterConfig, run_test, sleep};

fn config() -> ClusterConfig {
    ClusterConfig {
        dcs: vec![("bog-1", 3), ("bog-2", 2), ("bog-3", 1)],
        endpoints: 2,
        relays: true,
        ..ClusterConfig::default()
    }
}

/// Data centres are partitioned from each other. Each still serves keys whose home it is; for a key of another
/// home it answers `undecided` at once. After the partition, the key has the same outcome at every entry.
#[test]
fn partitioned_data_centre_serves_its_own_keys() {
    run_test(async {
        let cluster = Cluster::start(config()).await?;
        let shared = cluster.generate_key(0);
        let before = cluster
            .submit(0, &shared, "stock-hold", 3000, &[20])
            .await?;
        assert_eq!(before.outcome(), "answer");
        cluster.set_partitioned(&[0, 1, 2], &[3, 4, 5], true);
        cluster.set_partitioned(&[3, 4], &[5], true);
        sleep(2500).await;
        for entry in 0..6 {
            let key = cluster.generate_key(entry);
            let response = cluster
                .submit(entry, &key, "stock-hold", 3000, &[20])
                .await?;
            assert_eq!(response.outcome(), "answer", "entry {entry}: {response:?}");
        }
        let started = Instant::now();
        for entry in [3, 5] {
            let response = cluster
                .submit(entry, &shared, "stock-hold", 3000, &[20])
                .await?;
            assert_eq!(response.outcome(), "undecided", "{response:?}");
            assert_eq!(response.ran(), "maybe");
        }
        assert!(
            started.elapsed() < Duration::from_millis(500),
            "the answers took {:?}",
            started.elapsed()
        );
        cluster.set_partitioned(&[0, 1, 2, 3, 4], &[0, 1, 2, 3, 4, 5], false);
        sleep(2500).await;
        for entry in 0..6 {
            let response = cluster
                .submit(entry, &shared, "stock-hold", 3000, &[20])
                .await?;
            assert_eq!(response, before, "entry {entry}");
        }
        assert_eq!(cluster.fleet.execution_log().key_starts(&shared), 1);
        cluster.check_invariants().await
    });
}

/// A data centre of two entries is partitioned, then one of the two is killed. The remaining entry has no
/// quorum, answers `undecided` at once and starts no task; after the partition it serves again.
#[test]
fn partitioned_data_centre_without_quorum_answers_undecided() {
    run_test(async {
        let mut cluster = Cluster::start(config()).await?;
        cluster.set_partitioned(&[3, 4], &[0, 1, 2, 5], true);
        sleep(2500).await;
        cluster.processes[4].kill();
        sleep(1500).await;
        let key = cluster.generate_key(3);
        let started = Instant::now();
        let response = cluster.submit(3, &key, "stock-hold", 3000, &[20]).await?;
        assert_eq!(response.outcome(), "undecided", "{response:?}");
        assert!(
            started.elapsed() < Duration::from_millis(500),
            "the answers took {:?}",
            started.elapsed()
        );
        assert_eq!(cluster.fleet.execution_log().key_starts(&key), 0);
        cluster.set_partitioned(&[3, 4], &[0, 1, 2, 5], false);
        sleep(2500).await;
        let again = cluster.submit(3, &key, "stock-hold", 3000, &[20]).await?;
        assert_eq!(again.outcome(), "answer", "{again:?}");
        assert_eq!(cluster.fleet.execution_log().key_starts(&key), 1);
        cluster.check_invariants().await
    });
}

/// All open connections between instances are blackholed, while new ones work. Answers to requests in flight
/// may be late, but new submissions are answered again within two seconds, and no instance is considered dead.
#[test]
fn blackholed_connections_are_replaced() {
    run_test(async {
        let cluster = Cluster::start(config()).await?;
        for relay in cluster.relays.values() {
            relay.blackhole_open();
        }
        sleep(2000).await;
        let started = Instant::now();
        for entry in 0..6 {
            for home in 0..6 {
                let key = cluster.generate_key(home);
                let response = cluster
                    .submit(entry, &key, "stock-hold", 4000, &[5])
                    .await?;
                assert_eq!(response.outcome(), "answer", "{entry} {home}: {response:?}");
                assert_eq!(cluster.fleet.execution_log().key_starts(&key), 1);
            }
        }
        println!(
            "36 submissions after the blackhole took {:?}",
            started.elapsed()
        );
        cluster.check_invariants().await
    });
}

/// Messages from one entry to another are lost in that direction only, while callers submit each key to all
/// entries. No task starts twice, and all outcomes of a key are equal.
#[test]
fn one_way_loss_starts_nothing_twice() {
    run_test(async {
        let cluster = Cluster::start(ClusterConfig {
            dcs: vec![("bog-1", 3)],
            ..config()
        })
        .await?;
        cluster.relays[&(0, 1)].set_blackhole(Direction::Forward, true);
        sleep(100).await;
        let keys: Vec<_> = (0..20).map(|_| generate_key(Some("bog-1"))).collect();
        let submissions = keys
            .iter()
            .flat_map(|key| (0..3).map(move |entry| (key, entry)));
        let submissions = submissions.map(|(key, entry)| {
            let cluster = &cluster;
            async move {
                let response = cluster
                    .submit(entry, key, "stock-hold", 4000, &[15])
                    .await?;
                anyhow::Ok((key.clone(), response))
            }
        });
        let mut outcomes = std::collections::BTreeMap::new();
        for done in futures_util::future::join_all(submissions).await {
            let (key, response) = done?;
            if response.outcome() == "undecided" {
                continue;
            }
            let first = outcomes.entry(key).or_insert(response.clone());
            assert_eq!(*first, response, "the key has two outcomes");
        }
        assert!(
            outcomes.len() > 15,
            "only {} of 20 had an outcome",
            outcomes.len()
        );
        cluster.check_invariants().await
    });
}
