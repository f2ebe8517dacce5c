//! The scenarios, and the registry that lists them.

use celerywinch_standin::{Fleet, Mode};

/// One scenario: an offered load, and what befalls the endpoints.
#[derive(Clone, Copy)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// What it shows, in one line.
    pub summary: &'static str,
    pub(super) load: fn(f64) -> f64,
    /// Called at each tenth of the run, with the tenth and the fleet.
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
        summary: "4% of the workers run ten times as long, at 70% load",
        load: |_| 0.7,
        inject_faults: |tenth, fleet| {
            if tenth == 1 {
                every_25th(fleet, Mode::Slow);
            }
        },
    },
    Scenario {
        name: "burst",
        summary: "three times the capacity for three tenths of the run, 60% before and after",
        load: |at| if (0.3..0.6).contains(&at) { 3.0 } else { 0.6 },
        inject_faults: |_, _| {},
    },
    Scenario {
        name: "leaving",
        summary: "a tenth of the workers says at a time that it leaves, at 60% load",
        load: |_| 0.6,
        inject_faults: |tenth, fleet| {
            if tenth == 3 {
                let count = fleet.addrs().len() / 10;
                (0..count.max(1)).for_each(|index| fleet.leave(index));
            }
        },
    },
];

fn every_25th(fleet: &Fleet, mode: Mode) {
    for index in (0..fleet.addrs().len()).step_by(25) {
        fleet.set_mode(index, mode);
    }
}
