//! Tests that invalid requests get an error that names the field, and have no effect.

mod harness;

use std::time::Duration;

use celerywinch_standin::generate_key;
use harness::{Cluster, ClusterConfig, SECRET, run_test};
use serde_json::{Value, json};

/// An invalid request and the expected error.
struct Case {
    key: Option<&'static str>,
    body: Value,
    status: u16,
    field: &'static str,
}

fn job(field: &str, value: Value) -> Value {
    let mut body = json!({ "kind": "price-check", "deadline_ms": 500, "tasks": [{}] });
    body[field] = value;
    body
}

fn cases() -> Vec<Case> {
    let fresh = Some("");
    let case = |key, body, status, field| Case {
        key,
        body,
        status,
        field,
    };
    vec![
        case(
            None,
            job("kind", json!("price-check")),
            400,
            "Idempotency-Key",
        ),
        case(
            Some("order-17"),
            job("kind", json!("price-check")),
            400,
            "Idempotency-Key",
        ),
        case(fresh, json!([1, 2]), 400, "body"),
        case(fresh, job("deadlin", json!(5)), 400, "body"),
        case(fresh, job("kind", json!("price-chekc")), 404, "kind"),
        case(fresh, job("team", json!("nobody")), 404, "team"),
        case(fresh, job("deadline_ms", json!(0)), 400, "deadline_ms"),
        case(
            fresh,
            job("deadline_ms", json!(86_400_000)),
            400,
            "deadline_ms",
        ),
        case(fresh, job("tasks", json!([])), 400, "tasks"),
        case(fresh, job("tasks", json!(vec![1; 241])), 400, "tasks"),
        case(
            fresh,
            job("tasks", json!(["x".repeat(70_000)])),
            400,
            "tasks",
        ),
        case(
            fresh,
            job("tasks", json!(["x".repeat(5 << 20)])),
            413,
            "body",
        ),
    ]
}

#[test]
fn error_of_an_invalid_request_names_the_field() {
    run_test(async {
        let cluster = Cluster::start(ClusterConfig::default()).await?;
        let entry = cluster.processes[0].caller_addr;
        for (number, case) in cases().into_iter().enumerate() {
            let fresh = generate_key(None);
            let key = case
                .key
                .map(|key| if key.is_empty() { fresh.as_str() } else { key });
            let wait = Duration::from_secs(2);
            let response = cluster
                .caller
                .post(entry, "/v1/submit", key, &case.body, wait)
                .await?;
            assert_eq!(response.status, case.status, "case {number}: {response:?}");
            assert_eq!(
                response.body["field"], case.field,
                "case {number}: {response:?}"
            );
        }
        let status = cluster.status(0).await?;
        assert_eq!(
            (&status["open_jobs"], &status["claim_records"]),
            (&json!(0), &json!(0))
        );
        cluster.check_invariants().await
    });
}

/// The same key with another body is a conflict, at the same and at other entries; the first outcome is
/// unchanged.
#[test]
fn reused_key_is_a_conflict() {
    run_test(async {
        let cluster = Cluster::start(ClusterConfig::default()).await?;
        let key = cluster.generate_key(0);
        let first = cluster.submit(0, &key, "price-check", 2000, &[10]).await?;
        for entry in 0..3 {
            let other = cluster
                .submit(entry, &key, "price-check", 2000, &[11])
                .await?;
            assert_eq!(other.outcome(), "conflict", "{other:?}");
            let same = cluster
                .submit(entry, &key, "price-check", 2000, &[10])
                .await?;
            assert_eq!(same, first);
            let found = cluster.lookup(entry, &key).await?;
            assert_eq!(found, first);
        }
        let unknown = cluster.lookup(1, &cluster.generate_key(1)).await?;
        assert_eq!(unknown.status, 404, "{unknown:?}");
        cluster.check_invariants().await
    });
}

/// The operators' routes require the secret, and do not exist on the listeners of callers and endpoints.
#[test]
fn operators_routes_require_the_secret() {
    run_test(async {
        let cluster = Cluster::start(ClusterConfig::default()).await?;
        let process = &cluster.processes[0];
        for path in [
            "/v1/status",
            "/v1/catalogue",
            "/v1/catalogue/where",
            "/metrics",
        ] {
            for secret in [None, Some("wrong"), Some("")] {
                let response = cluster
                    .caller
                    .get(process.operator_addr, path, secret)
                    .await?;
                assert_eq!(response.status, 401, "{path} {secret:?}");
            }
            for addr in [process.caller_addr, process.endpoint_addr] {
                let response = cluster.caller.get(addr, path, Some(SECRET)).await?;
                assert_eq!(response.status, 404, "{path}");
            }
        }
        cluster.check_invariants().await
    });
}
