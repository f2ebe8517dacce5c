//! The whole path through real processes: three entries, stand-in endpoints, a caller.

mod harness;

use harness::{Plan, World, run};

/// A job of sixty tasks goes to one endpoint with which no connection is open yet, at the moment at
/// which the lone entry says that it is ready. It once was told as undecided: the entry was ready a
/// few milliseconds before its replica stopped to abstain on keys that old.
#[test]
fn burst_to_one_endpoint_is_answered() {
    run(async {
        let world = World::start(Plan {
            dcs: vec![("bog-1", 1)],
            endpoints: 1,
            slots: 64,
            ..Plan::default()
        })
        .await?;
        let key = world.key(0);
        let response = world
            .submit(0, &key, "scan-match", 3000, &[300; 60])
            .await?;
        assert_eq!(response.outcome(), "answer", "{response:?}");
        world.check().await
    });
}

/// A caller submits a job of eight tasks to each entry in turn and gets the whole answer, in the
/// order submitted, although the endpoints announced themselves to any entry.
#[test]
fn job_is_answered_whole_by_every_entry() {
    run(async {
        let world = World::start(Plan::default()).await?;
        for entry in 0..3 {
            let key = world.key(entry);
            let runs = [40, 10, 60, 20, 30, 50, 15, 25];
            let response = world.submit(entry, &key, "scan-match", 3000, &runs).await?;
            assert_eq!(response.outcome(), "answer", "{response:?}");
            let results = response.body["results"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            let order: Vec<_> = results
                .iter()
                .map(|result| result["task"].as_u64())
                .collect();
            let wanted: Vec<_> = (0..8).map(Some).collect();
            assert_eq!(order, wanted);
            let again = world
                .submit((entry + 1) % 3, &key, "scan-match", 3000, &runs)
                .await?;
            assert_eq!(
                again, response,
                "a resubmission elsewhere gets the same answer"
            );
            assert_eq!(world.fleet.execution_log().key_starts(&key), 8);
        }
        world.check().await
    });
}
