//! Tests that the daemon accepts the examples in the documentation.

mod harness;

use std::time::Duration;

use celerywinch_standin::generate_key;
use harness::{Cluster, ClusterConfig, run_test};
use serde_json::Value;

const API: &str = include_str!("../../../docs/api.md");
const PROTOCOL: &str = include_str!("../../../docs/endpoint-protocol.md");

/// Returns the first indented JSON block of a page.
fn example(page: &str) -> Value {
    let indented = |line: &&str| line.starts_with("    ");
    let block: Vec<_> = page
        .lines()
        .skip_while(|line| !line.starts_with("    {"))
        .take_while(indented)
        .collect();
    serde_json::from_str(&block.join("\n")).expect("the example is JSON")
}

#[test]
fn example_submission_is_answered() {
    run_test(async {
        let cluster = Cluster::start(ClusterConfig::default()).await?;
        let entry = cluster.processes[0].caller_addr;
        let key = generate_key(Some("bog-1"));
        let wait = Duration::from_secs(2);
        let body = example(API);
        let response = cluster
            .caller
            .post(entry, "/v1/submit", Some(&key), &body, wait)
            .await?;
        assert_eq!(response.outcome(), "answer", "{response:?}");
        let found = cluster.lookup(1, &key).await?;
        assert_eq!(found, response);
        let cancelled = cluster.caller.cancel(entry, &[key]).await?;
        assert_eq!(
            cancelled.body["cancelled"][0]["state"], "ended",
            "{cancelled:?}"
        );
        cluster.check_invariants().await
    });
}

#[test]
fn example_announcement_is_accepted() {
    run_test(async {
        let cluster = Cluster::start(ClusterConfig::default()).await?;
        let entry = cluster.processes[0].endpoint_addr;
        let wait = Duration::from_secs(2);
        let body = example(PROTOCOL);
        let response = cluster
            .caller
            .post(entry, "/v1/announce", None, &body, wait)
            .await?;
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.body["lease_ms"], 5000);
        for index in 0..3 {
            cluster
                .wait_for_status(index, Duration::from_secs(2), |page| {
                    page["endpoints_known"] == 5
                })
                .await?;
        }
        Ok(())
    });
}
