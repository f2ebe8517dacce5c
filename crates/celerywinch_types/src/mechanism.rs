//! Mechanisms of dispatching that can be disabled to measure the benefit of each.

use std::str::FromStr;

use crate::domain;

domain! {
    /// A mechanism that improves the service for callers. All guarantees hold without it.
    #[derive(Copy)]
    pub enum Mechanism {
        /// Refuses new jobs at once that cannot end in time.
        Admission,
        /// Refuses queued jobs that can no longer end in time.
        Shedding,
        /// Includes in admission the work of higher priority that will arrive meanwhile.
        Inflow,
        /// Starts jobs of higher priority first.
        Priority,
        /// Learns how fast each worker is.
        Pace,
        /// Quarantines workers that fail tasks or make no progress.
        Probation,
        /// Moves runs that make too little progress to another worker.
        Moving,
        /// Places tasks where they leave the least capacity unused.
        Packing,
        /// Returns tasks that cannot start at once, so that another dispatcher is tried.
        Passing,
        /// Adopts the runs that a lost dispatcher started.
        Adoption,
        /// Settles tasks that may have run by the ends of runs that are found at a takeover.
        Shortcuts,
        /// Sends learned run times to successors.
        Teaching,
        /// Learns run times.
        Learning,
        /// Derives the timeouts of start and stop requests from earlier answer times.
        Patience,
        /// Shortens the takeover delay of dispatchers where all processes have just started.
        ShortListening,
        /// Gives a refused caller the time until the queue is empty as its retry delay.
        RetryTime,
        /// Keeps work in one data centre while that has capacity.
        Locality,
        /// Has waiting tasks started by the first dispatcher that has free capacity.
        LateBinding,
        /// Reports free capacity by the size of the need, and chooses dispatchers by it.
        SizeClasses,
        /// Learns which share of the workers' capacity placement can use.
        Efficiency,
        /// Expects steps to take as long as the quantile of run times that their number of tasks reaches.
        Quantiles,
        /// Places tasks where they are expected to end first.
        ExpectedEnd,
        /// Suspects workers of being slow by the first run that takes too long.
        Overstay,
        /// Ranks entries that take over a shard by what they can carry.
        CapacityRank,
    }
}

impl Mechanism {
    /// All mechanisms, with their names on the command line.
    pub const ALL: [(Self, &'static str); 24] = [
        (Self::Admission, "admission"),
        (Self::Shedding, "shedding"),
        (Self::Inflow, "inflow"),
        (Self::Priority, "priority"),
        (Self::Pace, "pace"),
        (Self::Probation, "probation"),
        (Self::Moving, "moving"),
        (Self::Packing, "packing"),
        (Self::Passing, "passing"),
        (Self::Adoption, "adoption"),
        (Self::Shortcuts, "shortcuts"),
        (Self::Teaching, "teaching"),
        (Self::Learning, "learning"),
        (Self::Patience, "patience"),
        (Self::ShortListening, "short-listening"),
        (Self::RetryTime, "retry-time"),
        (Self::Locality, "locality"),
        (Self::LateBinding, "late-binding"),
        (Self::SizeClasses, "size-classes"),
        (Self::Efficiency, "efficiency"),
        (Self::Quantiles, "quantiles"),
        (Self::ExpectedEnd, "expected-end"),
        (Self::Overstay, "overstay"),
        (Self::CapacityRank, "capacity-rank"),
    ];
}

domain! {
    /// The set of disabled mechanisms; empty by default.
    #[derive(Copy, Default)]
    pub struct DisabledMechanisms(u32);
}

impl DisabledMechanisms {
    /// Disables one more mechanism.
    #[must_use]
    pub fn with(self, mechanism: Mechanism) -> Self {
        Self(self.0 | 1 << mechanism as u32)
    }

    /// Whether a mechanism is disabled.
    #[must_use]
    pub fn contains(self, mechanism: Mechanism) -> bool {
        self.0 & 1 << mechanism as u32 != 0
    }
}

/// The error for a name that no mechanism has.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("found {0:?}, wanted names of mechanisms, separated by commas: {names}", names = names())]
pub struct UnknownMechanism(String);

fn names() -> String {
    Mechanism::ALL.map(|(_, name)| name).join(" ")
}

impl FromStr for DisabledMechanisms {
    type Err = UnknownMechanism;

    /// Parses names that are separated by commas; an empty text disables nothing.
    fn from_str(text: &str) -> Result<Self, UnknownMechanism> {
        let named = text.split(',').filter(|name| !name.is_empty());
        named
            .into_iter()
            .try_fold(Self::default(), |disabled, name| {
                let mut all = Mechanism::ALL.into_iter();
                let known = all.find(|(_, known)| *known == name);
                let (mechanism, _) = known.ok_or_else(|| UnknownMechanism(name.to_owned()))?;
                Ok(disabled.with(mechanism))
            })
    }
}
