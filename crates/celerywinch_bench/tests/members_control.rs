//! Control traffic of simulated members as their number grows.

use celerywinch_bench::members::{LoadPlan, MembersOptions, reference_classes, run};
use celerywinch_types::DisabledMechanisms;
use rstest::rstest;

/// Time at which the load ends, in ms. The members are ready 1.5 s after their start.
const LOAD_MS: u64 = 4_500;

/// Returns a deployment in five data centres with seven workers for each entry, and little load.
fn options(entries: u32) -> MembersOptions {
    MembersOptions {
        seed: 1,
        dcs: 5,
        entries,
        workers: entries * 7,
        shard_size: 38,
        disabled: DisabledMechanisms::default(),
        link_rate: None,
        load_ms: LOAD_MS,
        load: LoadPlan {
            classes: reference_classes(),
            cpu: 16_000,
            ..LoadPlan::default()
        },
        ..MembersOptions::default()
    }
}

/// Returns the mean number of control messages and bytes that a member sends per second.
fn control_rates(entries: u32) -> (f64, f64) {
    let report = run(options(entries));
    let seconds = (LOAD_MS as f64 - 1_500.0) / 1_000.0 * f64::from(entries);
    let messages: usize = report.control.iter().map(|c| c.messages).sum();
    let bytes: usize = report.control.iter().map(|c| c.bytes).sum();
    (messages as f64 / seconds, bytes as f64 / seconds)
}

/// Guards against control traffic that grows with the number of members. In a deployment of 152 processes, without any
/// fault, callers were not served at all, because the control traffic left the processes no time for jobs. What one
/// member sends must not grow with the number of the others.
#[rstest]
#[case::twice_as_many(60)]
fn control_does_not_grow_with_the_number_of_members(#[case] entries: u32) {
    check_against_30_entries(entries);
}

/// Checks the same at the size of that deployment and at twice its size.
#[rstest]
#[case::present_size(150)]
#[case::twice_the_size(300)]
#[ignore = "takes minutes without optimisation: run by hand with `--release -- --ignored`"]
fn control_does_not_grow_at_size(#[case] entries: u32) {
    check_against_30_entries(entries);
}

/// Checks that the control traffic of a member is at most 25% above that with 30 entries.
fn check_against_30_entries(entries: u32) {
    let (few, few_bytes) = control_rates(30);
    let (many, many_bytes) = control_rates(entries);
    assert!(
        many <= few * 1.25 && many_bytes <= few_bytes * 1.25,
        "{many:.0} messages and {many_bytes:.0} bytes per second, {few:.0} and {few_bytes:.0} with 30 entries"
    );
}
