//! The examples of the pages are what the program takes.

mod harness;

use std::time::Duration;

use celerywinch_standin::generate_key;
use harness::{Plan, World, run};
use serde_json::Value;

const API: &str = include_str!("../../../docs/api.md");
const PROTOCOL: &str = include_str!("../../../docs/endpoint-protocol.md");

/// The first indented block of JSON on a page.
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
    run(async {
        let world = World::start(Plan::default()).await?;
        let entry = world.processes[0].callers;
        let key = generate_key(Some("bog-1"));
        let wait = Duration::from_secs(2);
        let body = example(API);
        let response = world
            .caller
            .post(entry, "/v1/submit", Some(&key), &body, wait)
            .await?;
        assert_eq!(response.outcome(), "answer", "{response:?}");
        let found = world.lookup(1, &key).await?;
        assert_eq!(found, response);
        let cancelled = world.caller.cancel(entry, &[key]).await?;
        assert_eq!(
            cancelled.body["cancelled"][0]["state"], "ended",
            "{cancelled:?}"
        );
        world.check().await
    });
}

#[test]
fn example_announcement_is_taken() {
    run(async {
        let world = World::start(Plan::default()).await?;
        let entry = world.processes[0].endpoints;
        let wait = Duration::from_secs(2);
        let body = example(PROTOCOL);
        let response = world
            .caller
            .post(entry, "/v1/announce", None, &body, wait)
            .await?;
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.body["lease_ms"], 5000);
        for index in 0..3 {
            world
                .wait_status(index, Duration::from_secs(2), |page| {
                    page["endpoints_known"] == 5
                })
                .await?;
        }
        Ok(())
    });
}
