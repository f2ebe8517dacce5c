//! Partitions, one-way loss and silent connections between instances, alone and with deaths.

mod harness;

use std::time::{Duration, Instant};

use celerywinch_standin::{Direction, generate_key};
use harness::{Plan, World, run, sleep};

fn plan() -> Plan {
    Plan {
        dcs: vec![("bog-1", 3), ("bog-2", 2), ("bog-3", 1)],
        endpoints: 2,
        relays: true,
        ..Plan::default()
    }
}

/// Data centres are cut off from each other. Each goes on serving keys of its own; a key of
/// another home is told as undecided at once, and after the heal it has one outcome everywhere.
#[test]
fn cut_off_data_centre_serves_on() {
    run(async {
        let world = World::start(plan()).await?;
        let shared = world.key(0);
        let before = world.submit(0, &shared, "stock-hold", 3000, &[20]).await?;
        assert_eq!(before.outcome(), "answer");
        world.cut(&[0, 1, 2], &[3, 4, 5], true);
        world.cut(&[3, 4], &[5], true);
        sleep(2500).await;
        for entry in 0..6 {
            let key = world.key(entry);
            let response = world.submit(entry, &key, "stock-hold", 3000, &[20]).await?;
            assert_eq!(response.outcome(), "answer", "entry {entry}: {response:?}");
        }
        let began = Instant::now();
        for entry in [3, 5] {
            let response = world
                .submit(entry, &shared, "stock-hold", 3000, &[20])
                .await?;
            assert_eq!(response.outcome(), "undecided", "{response:?}");
            assert_eq!(response.ran(), "maybe");
        }
        assert!(
            began.elapsed() < Duration::from_millis(500),
            "held back: {:?}",
            began.elapsed()
        );
        world.cut(&[0, 1, 2, 3, 4], &[0, 1, 2, 3, 4, 5], false);
        sleep(2500).await;
        for entry in 0..6 {
            let response = world
                .submit(entry, &shared, "stock-hold", 3000, &[20])
                .await?;
            assert_eq!(response, before, "entry {entry}");
        }
        assert_eq!(world.fleet.execution_log().key_starts(&shared), 1);
        world.check().await
    });
}

/// A data centre of two entries is cut off and then one of the two dies: two faults at once. What
/// is left cannot agree, says so at once, and starts nothing; when the cut heals it serves again.
#[test]
fn cut_off_and_then_one_of_two_dies() {
    run(async {
        let mut world = World::start(plan()).await?;
        world.cut(&[3, 4], &[0, 1, 2, 5], true);
        sleep(2500).await;
        world.processes[4].kill();
        sleep(1500).await;
        let key = world.key(3);
        let began = Instant::now();
        let response = world.submit(3, &key, "stock-hold", 3000, &[20]).await?;
        assert_eq!(response.outcome(), "undecided", "{response:?}");
        assert!(
            began.elapsed() < Duration::from_millis(500),
            "held back: {:?}",
            began.elapsed()
        );
        assert_eq!(world.fleet.execution_log().key_starts(&key), 0);
        world.cut(&[3, 4], &[0, 1, 2, 5], false);
        sleep(2500).await;
        let again = world.submit(3, &key, "stock-hold", 3000, &[20]).await?;
        assert_eq!(again.outcome(), "answer", "{again:?}");
        assert_eq!(world.fleet.execution_log().key_starts(&key), 1);
        world.check().await
    });
}

/// All open connections between instances go silent for good, while new ones work: what was under
/// way may be told late, but new submissions are answered again within two seconds, and nobody is
/// taken for dead.
#[test]
fn silent_connections_are_replaced() {
    run(async {
        let world = World::start(plan()).await?;
        for relay in world.relays.values() {
            relay.blackhole_open();
        }
        sleep(2000).await;
        let began = Instant::now();
        for entry in 0..6 {
            for home in 0..6 {
                let key = world.key(home);
                let response = world.submit(entry, &key, "stock-hold", 4000, &[5]).await?;
                assert_eq!(response.outcome(), "answer", "{entry} {home}: {response:?}");
                assert_eq!(world.fleet.execution_log().key_starts(&key), 1);
            }
        }
        println!(
            "36 submissions after the silence took {:?}",
            began.elapsed()
        );
        world.check().await
    });
}

/// Messages are lost one way only, from each entry to the next, while callers resubmit everywhere.
#[test]
fn one_way_loss_starts_nothing_twice() {
    run(async {
        let world = World::start(Plan {
            dcs: vec![("bog-1", 3)],
            ..plan()
        })
        .await?;
        world.relays[&(0, 1)].set_blackhole(Direction::Forward, true);
        sleep(100).await;
        let keys: Vec<_> = (0..20).map(|_| generate_key(Some("bog-1"))).collect();
        let submissions = keys
            .iter()
            .flat_map(|key| (0..3).map(move |entry| (key, entry)));
        let submissions = submissions.map(|(key, entry)| {
            let world = &world;
            async move {
                let response = world.submit(entry, key, "stock-hold", 4000, &[15]).await?;
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
            assert_eq!(*first, response, "two outcomes");
        }
        assert!(
            outcomes.len() > 15,
            "only {} of 20 had an outcome",
            outcomes.len()
        );
        world.check().await
    });
}
