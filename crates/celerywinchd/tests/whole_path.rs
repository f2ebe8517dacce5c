//! Tests of the whole path through real processes: entries, fake endpoints and a caller.

mod harness;

use harness::{Cluster, ClusterConfig, run_test};

/// A job of sixty tasks is submitted right when the only entry becomes ready, for an endpoint to which no
/// connection is open yet. Guards against the outcome `undecided`, which occurred when the entry reported
/// ready a few milliseconds before its replica stopped abstaining on keys of that age.
#[test]
fn burst_to_one_endpoint_is_answered() {
    run_test(async {
        let cluster = Cluster::start(ClusterConfig {
            dcs: vec![("bog-1", 1)],
            endpoints: 1,
            slots: 64,
            ..ClusterConfig::default()
        })
        .await?;
        let key = cluster.generate_key(0);
        let response = cluster
            .submit(0, &key, "scan-match", 3000, &[300; 60])
            .await?;
        assert_eq!(response.outcome(), "answer", "{response:?}");
        cluster.check_invariants().await
    });
}

/// A caller submits a job of eight tasks to each entry in turn and gets the complete answer, in the order of
/// the tasks, although each endpoint announces itself to changing entries.
#[test]
fn every_entry_answers_a_job_completely() {
    run_test(async {
        let cluster = Cluster::start(ClusterConfig::default()).await?;
        for entry in 0..3 {
            let key = cluster.generate_key(entry);
            let runs = [40, 10, 60, 20, 30, 50, 15, 25];
            let response = cluster
                .submit(entry, &key, "scan-match", 3000, &runs)
                .await?;
            assert_eq!(response.outcome(), "answer", "{response:?}");
            let results = response.body["results"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            let order: Vec<_> = results
                .iter()
                .map(|result| result["task"].as_u64())
                .collect();
            let expected: Vec<_> = (0..8).map(Some).collect();
            assert_eq!(order, expected);
            let again = cluster
                .submit((entry + 1) % 3, &key, "scan-match", 3000, &runs)
                .await?;
            assert_eq!(
                again, response,
                "a resubmission to another entry gets the same answer"
            );
            assert_eq!(cluster.fleet.execution_log().key_starts(&key), 8);
        }
        cluster.check_invariants().await
    });
}
