//! Simulated deployment with tasks and run times that vary widely.

use celerywinch_bench::members::{
    ClassPlan, ClassStats, LoadPlan, MembersOptions, Tail, Violation, reference_classes, run,
};
use celerywinch_types::{DisabledMechanisms, Mechanism};

/// Returns a deployment of 350 workers under 16 dispatchers with a load of `factor` times the usual one, of tasks that need half
/// of a usual worker.
fn options(seed: u64, factor: f64, tail: Option<Tail>, disabled: &[Mechanism]) -> MembersOptions {
    let scaled = |class: ClassPlan| ClassPlan {
        rate: class.rate * 6.0 * factor,
        ..class
    };
    let none = DisabledMechanisms::default();
    MembersOptions {
        seed,
        dcs: 3,
        entries: 28,
        workers: 350,
        shard_size: 32,
        disabled: disabled.iter().fold(none, |all, one| all.with(*one)),
        link_rate: None,
        load_ms: 6_000,
        load: LoadPlan {
            classes: reference_classes().into_iter().map(scaled).collect(),
            cpu: 16_000,
            tail,
            ..LoadPlan::default()
        },
        ..MembersOptions::default()
    }
}

/// Returns the shares of jobs in time, late and refused, in thousandths.
fn shares(classes: &[ClassStats]) -> [usize; 3] {
    let sum = |of: fn(&ClassStats) -> usize| classes.iter().map(of).sum::<usize>();
    let submitted = sum(|class| class.submitted).max(1);
    [
        sum(|class| class.on_time),
        sum(|class| class.late + class.lost),
        sum(|class| class.refused),
    ]
    .map(|count| count * 1_000 / submitted)
}

/// Compares the shares with and without each mechanism, for reports. `TRIAL` is the name of one mechanism, `LOADS` the factors of
/// the load, separated by commas.
#[test]
#[ignore = "prints figures, takes minutes"]
fn shares_with_and_without() {
    let only = std::env::var("TRIAL").unwrap_or_default();
    let loads = std::env::var("LOADS").unwrap_or_else(|_| "1.0,1.3,1.5,1.7".to_owned());
    let factors = loads.split(',').map(|load| load.parse().expect("a number"));
    let factors: Vec<f64> = factors.collect();
    let tail = Some(Tail {
        share: 0.03,
        factor: 7.0,
    });
    let cases = [
        ("size-classes", Mechanism::SizeClasses, None),
        ("efficiency", Mechanism::Efficiency, None),
        ("quantiles", Mechanism::Quantiles, tail),
    ];
    for (name, mechanism, tail) in cases {
        if only != name {
            continue;
        }
        for factor in factors.iter().copied() {
            let simulate = move |disabled: &[Mechanism]| {
                let report = run(options(1, factor, tail, disabled));
                assert_eq!(report.violations, Vec::<Violation>::new());
                let classes = report.classes.iter().map(|class| shares(&[*class]));
                format!(
                    "{:?} {:?}",
                    shares(&report.classes),
                    classes.collect::<Vec<_>>()
                )
            };
            let without = std::thread::spawn(move || simulate(&[mechanism]));
            let with = simulate(&[]);
            let without = without.join().expect("the simulation does not panic");
            println!("{name} x {factor}: with {with}, without {without}");
        }
    }
}
