//! Every problem in a file names the file, the line, the field, what was found and what is wanted.

use std::fs;
use std::path::Path;

use celerywinch_settings::{load_settings, parse_catalogue};
use rstest::rstest;

const VALID: &str = "\
instance: 1
roles: [entry, keeper]
callers: 127.0.0.1:7001
endpoints: 127.0.0.1:7101
operators: 127.0.0.1:7201
secret_file: secret
data_folder: data
data_centres: { bog-1: 1 }
instances:
  - { instance: 1, data_centre: bog-1, peers: 127.0.0.1:7301, keeper: true }
";

/// A change to the valid file, and texts that the error must contain.
struct Change {
    from: &'static str,
    to: &'static str,
    wanted: &'static [&'static str],
}

fn check(folder: &Path, text: &str) -> String {
    fs::write(folder.join("secret"), "sixteen bytes or more").expect("a temporary folder");
    let file = folder.join("settings.yaml");
    fs::write(&file, text).expect("a temporary folder");
    match load_settings(&file) {
        Ok(_) => String::new(),
        Err(error) => error.to_string(),
    }
}

#[rstest]
#[case::unknown_field(Change {
    from: "callers:",
    to: "caller: x\ncallers:",
    wanted: &["settings.yaml:3", "caller"],
})]
#[case::bad_address(Change {
    from: "callers: 127.0.0.1:7001",
    to: "callers: localhost",
    wanted: &["settings.yaml:3: callers: found \"localhost\", wanted an IP number and a port"],
})]
#[case::two_problems_at_once(Change {
    from: "instance: 1\n",
    to: "instance: 9\nhttp_threads: 0\n",
    wanted: &[
        "settings.yaml:1: instance: found 9, wanted the number of one of `instances`",
        "settings.yaml:2: http_threads: found 0, wanted 1 to 64",
    ],
})]
#[case::unknown_data_centre(Change {
    from: "data_centre: bog-1",
    to: "data_centre: bog-2",
    wanted: &["settings.yaml:10: instances.data_centre: found \"bog-2\""],
})]
#[case::keeper_without_disk(Change {
    from: "data_folder: data\n",
    to: "",
    wanted: &["data_folder: found none, wanted one"],
})]
#[case::missing_secret(Change {
    from: "secret_file: secret",
    to: "secret_file: nowhere",
    wanted: &["settings.yaml:6: secret_file: found \"nowhere\"", "a file that can be read"],
})]
#[case::skew_too_large(Change {
    from: "instances:",
    to: "limits: { window_ms: 2000, skew_ms: 1500 }\ninstances:",
    wanted: &["settings.yaml:9: limits.skew_ms: found 1500, wanted at most half"],
})]
fn problem_is_named(#[case] case: Change) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    assert_eq!(
        check(folder.path(), VALID),
        "",
        "the unchanged file is valid"
    );
    assert!(VALID.contains(case.from), "the text to replace is missing");
    let error = check(folder.path(), &VALID.replacen(case.from, case.to, 1));
    for wanted in case.wanted {
        assert!(error.contains(wanted), "wanted {wanted:?} in:\n{error}");
    }
    assert!(
        !error.contains("sixteen bytes"),
        "the error contains the secret"
    );
}

#[test]
fn all_problems_of_a_catalogue_are_reported_with_their_lines() {
    let text = "\
kinds:
  price-check:
    owner: ''
    class: normal
    idempotent: true
    deadline_ms: { min: 0, max: 100 }
    run_ms: 500
    max_tasks: 240
    max_body: 100
teams:
  Dealers: { quota: 0 }
";
    let error = parse_catalogue(text)
        .expect_err("it has problems")
        .to_string();
    for wanted in [
        "catalogue:3: kinds.price-check.owner: found an empty text",
        "catalogue:6: kinds.price-check.deadline_ms.min: found 0",
        "catalogue:7: kinds.price-check.run_ms: found 500",
        "teams.Dealers: found \"Dealers\"",
        "teams.Dealers.quota: found 0",
    ] {
        assert!(error.contains(wanted), "wanted {wanted:?} in:\n{error}");
    }
}
