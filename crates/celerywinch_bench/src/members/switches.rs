//! Mixes of faults for randomised runs, and the options of a run that follow from its seed.

use std::collections::BTreeSet;
use std::fmt;

use celerywinch_types::DisabledMechanisms;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::faults::FaultPlan;
use super::load::{
    ClassPlan, LoadPlan, Lull, REFERENCE_CPU, WorkerKinds, reference_classes, uneven_load,
    uneven_workers,
};
use super::world::MembersOptions;

/// Duration of the load, in ms.
const LOAD_MS: u64 = 15_000;
/// Interval between two faults, in ms; chosen by the seed modulo 4.
const FAULT_INTERVALS_MS: [u64; 4] = [900, 500, 300, 150];
/// Maximum number of workers per dispatcher, of 48 workers: either one dispatcher has all of them, or several
/// dispatchers pass on tasks for which they have no capacity. Chosen by the seed modulo 3.
const SHARD_SIZES: [usize; 3] = [80, 8, 16];

/// Number of entries. With few entries, all exchange frequent heartbeats.
const FEW_ENTRIES: u32 = 7;
/// Number of entries with [`Switch::Many`]: only entries that work with each other exchange frequent heartbeats.
const MANY_ENTRIES: u32 = 24;
/// Maximum number of workers per dispatcher with [`Switch::Many`]: there are eight or four dispatchers, of which an
/// origin uses at most six.
const MANY_SHARD_SIZES: [usize; 3] = [6, 6, 12];
/// Duration of the load with [`Switch::Congested`], in ms: two periods of 4 s of normal load and a lull, then 4 s of
/// normal load.
const CONGESTED_LOAD_MS: u64 = 64_000;
const LULL_PERIOD_MS: u64 = 30_000;
/// During a lull, most workers are idle for longer than the 20 s after which a silent worker is removed.
const LULL_DURATION_MS: u64 = 26_000;
/// Time from the start of a lull without faults, in ms: a fault causes calls to workers, so they would not stay idle.
const LULL_FAULT_FREE_MS: u64 = 22_000;
/// Load during a lull as a fraction of normal load; chosen by the seed.
const LULL_LOAD_FACTORS: [f64; 4] = [0.05, 0.4, 0.1, 0.2];
/// Timeout of callers in runs where messages are delayed for seconds, in ms; the users' callers wait up to 8 s.
const LONG_TIMEOUT_MS: u32 = 8_000;
/// Start and end of the burst with [`Switch::Overloaded`], in ms.
const OVERLOAD_MS: std::ops::Range<u64> = 3_000..11_000;
/// Factors of that burst to the usual load; chosen by the seed.
const OVERLOAD_FACTORS: [f64; 3] = [1.5, 2.0, 3.0];
/// Number of switches in a drawn mix, without [`Switch::Overloaded`].
const DRAWN: std::ops::RangeInclusive<usize> = 3..=5;

/// A kind of fault or a condition, in addition to the faults of every run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Switch {
    /// Many entries at once are partitioned, and their messages delayed.
    Held,
    /// The paths to members are congested, in runs of 60 s with spells of low load.
    Congested,
    /// Live members and workers refuse connections.
    Refused,
    /// The steady clocks of workers are up to 2% slow.
    Drift,
    /// Workers leave, and restart under the same ID.
    Reborn,
    /// The capacity of workers is reduced at times, and they accept tasks regardless of it.
    Shrinking,
    /// Tasks of some jobs crash their workers.
    Crashing,
    /// Evacuations of data centres start and end.
    Evacuated,
    /// Many connections are reset at once, and callers retry at once.
    Resets,
    /// There are so many entries that most exchange heartbeats rarely.
    Many,
    /// A burst exceeds the capacity of workers of different speeds and sizes; tasks need about half of a worker, and some
    /// take much longer than usual.
    Overloaded,
    /// Some entries can carry more workers than others.
    Uneven,
}

impl Switch {
    /// All switches.
    pub const ALL: [Self; 12] = [
        Self::Held,
        Self::Congested,
        Self::Refused,
        Self::Drift,
        Self::Reborn,
        Self::Shrinking,
        Self::Crashing,
        Self::Evacuated,
        Self::Resets,
        Self::Many,
        Self::Overloaded,
        Self::Uneven,
    ];

    /// Returns the name of its command-line option.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Held => "held",
            Self::Congested => "congested",
            Self::Refused => "refused",
            Self::Drift => "drift",
            Self::Reborn => "reborn",
            Self::Shrinking => "shrinking",
            Self::Crashing => "crashing",
            Self::Evacuated => "evacuated",
            Self::Resets => "resets",
            Self::Many => "many",
            Self::Overloaded => "overloaded",
            Self::Uneven => "uneven",
        }
    }

    /// Returns the description of its command-line option.
    #[must_use]
    pub fn help(self) -> &'static str {
        match self {
            Self::Held => "also partition many entries at once and delay their messages",
            Self::Congested => {
                "also congest the paths to members, in runs of 60 s with spells of low load"
            }
            Self::Refused => "also have live members and workers refuse connections",
            Self::Drift => "run the steady clocks of workers up to 2% slow",
            Self::Reborn => "also have workers leave, and restart under the same ID",
            Self::Shrinking => {
                "at times reduce the capacity of workers, which then accept tasks regardless of it"
            }
            Self::Crashing => "have tasks of some jobs crash their workers",
            Self::Evacuated => "start and end evacuations of data centres",
            Self::Resets => "reset many connections at once; callers retry at once",
            Self::Many => "run so many entries that most exchange heartbeats rarely",
            Self::Overloaded => "exceed the capacity of uneven workers in a burst",
            Self::Uneven => "let every third entry carry three times as many workers",
        }
    }
}

/// A mix of switches.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Switches(BTreeSet<Switch>);

impl Switches {
    /// Draws the mix of a seed: three to five switches, and [`Switch::Overloaded`] for two of seven seeds.
    #[must_use]
    pub fn draw(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = random.random_range(DRAWN);
        let others: Vec<_> = Switch::ALL
            .into_iter()
            .filter(|switch| *switch != Switch::Overloaded)
            .collect();
        let mut drawn: BTreeSet<_> = others
            .choose_multiple(&mut random, count)
            .copied()
            .collect();
        if seed % 7 >= 5 {
            drawn.insert(Switch::Overloaded);
        }
        Self(drawn)
    }

    fn has(&self, switch: Switch) -> bool {
        self.0.contains(&switch)
    }

    /// Returns the options of the run with this seed and mix.
    #[must_use]
    pub fn options(&self, seed: u64) -> MembersOptions {
        let (many, congested) = (self.has(Switch::Many), self.has(Switch::Congested));
        let shard_sizes = if many { MANY_SHARD_SIZES } else { SHARD_SIZES };
        let lull = Lull {
            period_ms: LULL_PERIOD_MS,
            length_ms: LULL_DURATION_MS,
            calm_ms: LULL_FAULT_FREE_MS,
            factor: by_seed(&LULL_LOAD_FACTORS, seed / 4),
        };
        let usual = LoadPlan {
            classes: self.classes(),
            cpu: REFERENCE_CPU,
            lull: congested.then_some(lull),
            ..LoadPlan::default()
        };
        let (load, kinds) = if self.has(Switch::Overloaded) {
            (overload(usual, seed), uneven_workers())
        } else {
            (usual, WorkerKinds::default())
        };
        MembersOptions {
            seed,
            dcs: 3,
            entries: if many { MANY_ENTRIES } else { FEW_ENTRIES },
            workers: 48,
            shard_size: by_seed(&shard_sizes, seed),
            disabled: DisabledMechanisms::default(),
            link_rate: None,
            load_ms: if congested {
                CONGESTED_LOAD_MS
            } else {
                LOAD_MS
            },
            kinds,
            load,
            faults: Some(self.faults(seed)),
            ..MembersOptions::default()
        }
    }

    /// Returns the job classes of the reference service. Where messages are delayed or lost for seconds, the callers get a
    /// longer timeout, as otherwise all callers would have given up before the messages arrive.
    fn classes(&self) -> Vec<ClassPlan> {
        let mut classes = reference_classes();
        let delayed = [Switch::Held, Switch::Congested, Switch::Refused];
        if delayed.into_iter().any(|switch| self.has(switch)) {
            classes
                .iter_mut()
                .for_each(|class| class.timeout_ms = LONG_TIMEOUT_MS);
        }
        classes
    }

    fn faults(&self, seed: u64) -> FaultPlan {
        FaultPlan {
            interval_ms: by_seed(&FAULT_INTERVALS_MS, seed),
            members: true,
            workers: true,
            clock_skew: seed % 5 >= 3,
            partitioned: self.has(Switch::Held),
            congested: self.has(Switch::Congested),
            refused: self.has(Switch::Refused),
            drift: self.has(Switch::Drift),
            reused_names: self.has(Switch::Reborn),
            shrinking: self.has(Switch::Shrinking),
            crashing: self.has(Switch::Crashing),
            evacuated: self.has(Switch::Evacuated),
            resets: self.has(Switch::Resets),
            impaired: None,
            uneven: self.has(Switch::Uneven),
        }
    }
}

/// Returns a load with a burst that exceeds the capacity, tasks like those of [`uneven_load`], and its long tail.
fn overload(usual: LoadPlan, seed: u64) -> LoadPlan {
    let factor = by_seed(&OVERLOAD_FACTORS, seed / 5);
    let uneven = uneven_load();
    LoadPlan {
        cpu: uneven.cpu,
        tail: uneven.tail,
        burst: Some((OVERLOAD_MS.start, OVERLOAD_MS.end, factor)),
        ..usual
    }
}

impl FromIterator<Switch> for Switches {
    fn from_iter<I: IntoIterator<Item = Switch>>(switches: I) -> Self {
        Self(switches.into_iter().collect())
    }
}

impl fmt::Display for Switches {
    /// Writes the command-line options.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<_> = self.0.iter().map(|s| format!("--{}", s.name())).collect();
        f.write_str(&names.join(" "))
    }
}

fn by_seed<T: Copy, const N: usize>(choices: &[T; N], seed: u64) -> T {
    choices[(seed % N as u64) as usize]
}
