//! The scenarios of the bench.

use celerywinch_standin::{Fleet, Mode};

/// A scenario: an offered load and the faults of the endpoints.
#[derive(Clone, Copy)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// The load and the faults, in one line.
    pub summary: &'static str,
    pub(super) load: fn(f64) -> f64,
    /// Called at the start of each tenth of the run (0 to 9), with the fleet of endpoints.
    pub(super) inject_faults: fn(usize, &Fleet),
}

/// All scenarios.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "calm",
        summary: "80% load without faults",
        load: |_| 0.8,
        inject_faults: |_, _| {},
    },
    Scenario {
        name: "half",
        summary: "50% load without faults",
        load: |_| 0.5,
        inject_faults: |_, _| {},
    },
    Scenario {
        name: "failing",
        summary: "4% of the workers fail every task at once, at 70% load",
        load: |_| 0.7,
        inject_faults: |tenth, fleet| {
            if tenth == 1 {
                every_25th(fleet, Mode::Fail);
            }
        },
    },
    Scenario {
        name: "stragglers",
        summary: "4% of the workers take ten times as long, at 70% load",
        load: |_| 0.7,
        inject_faults: |tenth, fleet| {
            if tenth == 1 {
                every_25th(fleet, Mode::Slow);
            }
        },
    },
    Scenario {
        name: "burst",
        summary: "300% load for three tenths of the run, 60% before and after",
        load: |at| if (0.3..0.6).contains(&at) { 3.0 } else { 0.6 },
        inject_faults: |_, _| {},
    },
    Scenario {
        name: "leaving",
        summary: "10% of the workers start to leave at the same time, at 60% load",
        load: |_| 0.6,
        inject_faults: |tenth, fleet| {
            if tenth == 3 {
                let count = fleet.addrs().len() / 10;
                (0..count.max(1)).for_each(|index| fleet.set_leaving(index));
            }
        },
    },
];

/// Sets the mode of every 25th endpoint, which is 4% of them.
fn every_25th(fleet: &Fleet, mode: Mode) {
    for index in (0..fleet.addrs().len()).step_by(25) {
        fleet.set_mode(index, mode);
    }
}
