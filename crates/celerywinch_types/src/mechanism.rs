//! Mechanisms of dispatching that can be left out, so that what each of them is worth can be measured.

use std::str::FromStr;

use crate::domain;

domain! {
    /// A mechanism that serves callers better, and without which no promise is broken.
    #[derive(Copy)]
    pub enum Mechanism {
        /// New jobs that cannot end in time are refused at once.
        Admission,
        /// Queued jobs that can no longer end in time are refused.
        Shedding,
        /// Admission counts the work of higher priority that comes meanwhile.
        Inflow,
        /// Jobs of higher priority come first.
        Priority,
        /// The pace of each worker is learned.
        Pace,
        /// Workers that fail tasks or stand still get none for a while.
        Probation,
        /// Runs that make too little progress are moved.
        Moving,
        /// Tasks go where the least room is left empty.
        Packing,
        /// A dispatcher without room gives tasks back, and another one is tried.
        Passing,
        /// Runs that a lost dispatcher started are adopted.
        Adoption,
        /// Ends that are found at a change of hands settle tasks in doubt.
        Shortcuts,
        /// What was learned of run times is told to successors.
        Teaching,
        /// Run times are learned.
        Learning,
        /// Orders are waited for by what answers took.
        Patience,
        /// Dispatchers listen for less long where all processes have just started.
        ShortListening,
        /// A refused caller is told when the queue will be done.
        RetryTime,
        /// Work stays in one data centre while there is room.
        Locality,
    }
}

impl Mechanism {
    /// All of them, with the names that the command line takes.
    pub const ALL: [(Self, &'static str); 17] = [
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
    ];
}

domain! {
    /// Mechanisms that are left out; none by default.
    #[derive(Copy, Default)]
    pub struct DisabledMechanisms(u32);
}

impl DisabledMechanisms {
    /// Leaves one more out.
    #[must_use]
    pub fn with(self, mechanism: Mechanism) -> Self {
        Self(self.0 | 1 << mechanism as u32)
    }

    /// Whether a mechanism is left out.
    #[must_use]
    pub fn contains(self, mechanism: Mechanism) -> bool {
        self.0 & 1 << mechanism as u32 != 0
    }
}

/// A name that is no mechanism's.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("found {0:?}, wanted names of mechanisms, separated by commas: {names}", names = names())]
pub struct UnknownMechanism(String);

fn names() -> String {
    Mechanism::ALL.map(|(_, name)| name).join(" ")
}

impl FromStr for DisabledMechanisms {
    type Err = UnknownMechanism;

    /// Reads names that are separated by commas; an empty text leaves nothing out.
    fn from_str(text: &str) -> Result<Self, UnknownMechanism> {
        let named = text.split(',').filter(|name| !name.is_empty());
        named
            .into_iter()
            .try_fold(Self::default(), |without, name| {
                let mut all = Mechanism::ALL.into_iter();
                let known = all.find(|(_, known)| *known == name);
                let (mechanism, _) = known.ok_or_else(|| UnknownMechanism(name.to_owned()))?;
                Ok(without.with(mechanism))
            })
    }
}
