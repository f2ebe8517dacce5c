//! What members tell each other that is not callers' work, by their number, in simulated time.

use celerywinch_bench::members::{LoadPlan, MembersOptions, reference_classes, run};
use celerywinch_types::DisabledMechanisms;
use rstest::rstest;

/// How long there is load, in ms; the members are ready 1.5 s after their start.
const LENGTH: u64 = 4_500;

/// A deployment in five data centres with seven workers for each entry, and little work.
fn options(entries: u32) -> MembersOptions {
    MembersOptions {
        seed: 1,
        dcs: 5,
        entries,
        workers: entries * 7,
        shard_size: 38,
        disabled: DisabledMechanisms::default(),
        link_rate: None,
        load_ms: LENGTH,
        load: LoadPlan {
            classes: reference_classes(),
            cpu: 16_000,
            burst: None,
            lull: None,
        },
        unanswered: None,
        faults: None,
        follow: None,
    }
}

/// Messages and bytes a second of a member, on average.
fn control(entries: u32) -> (f64, f64) {
    let report = run(options(entries));
    let seconds = (LENGTH as f64 - 1_500.0) / 1_000.0 * f64::from(entries);
    let messages: usize = report.control.iter().map(|c| c.messages).sum();
    let bytes: usize = report.control.iter().map(|c| c.bytes).sum();
    (messages as f64 / seconds, bytes as f64 / seconds)
}

/// Callers of a deployment of 152 processes are not served at all, without any fault: its processes tell each other so
/// much that none has time for their jobs. What one of them says must not rise with the number of the others.
#[rstest]
#[case::twice_as_many(60)]
fn control_does_not_grow_with_the_number_of_members(#[case] entries: u32) {
    compare_with_few(entries);
}

/// The same at the size of such a deployment, and at twice that.
#[rstest]
#[case::of_today(150)]
#[case::of_tomorrow(300)]
#[ignore = "takes minutes without optimisation: run by hand with `--release -- --ignored`"]
fn control_does_not_grow_at_size(#[case] entries: u32) {
    compare_with_few(entries);
}

fn compare_with_few(entries: u32) {
    let (few, few_bytes) = control(30);
    let (many, many_bytes) = control(entries);
    assert!(
        many <= few * 1.25 && many_bytes <= few_bytes * 1.25,
        "{many:.0} messages a second and {many_bytes:.0} bytes, {few:.0} and {few_bytes:.0} with 30"
    );
}
