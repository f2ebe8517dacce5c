//! Identifiers of instances and data centres.

use std::fmt;

use crate::{domain, identifier};

identifier! {
    /// An instance of the system, numbered in the settings.
    #[derive(Default)]
    pub struct InstanceId(pub u32);

    /// A data centre, numbered in the settings.
    pub struct DataCentreId(pub u8);

    /// Tells the processes apart that run one after the other at one instance.
    ///
    /// Where numbers are kept on a disk, or are the worker's own, a later one is greater. Members of a fleet draw theirs: which
    /// of two is the later is known from the links alone.
    #[derive(Default)]
    pub struct Incarnation(pub u64);
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "instance-{}", self.0)
    }
}

impl fmt::Display for DataCentreId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "dc-{}", self.0)
    }
}

domain! {
    /// One life of an instance.
    #[derive(Copy, Hash, PartialOrd, Ord, Default)]
    pub struct Process {
        /// The instance.
        pub instance: InstanceId,
        /// Which life of it.
        pub incarnation: Incarnation,
    }

    /// One attempt of a process to get the claim of a key; who may start its tasks.
    ///
    /// The attempt is part of it, for votes are given again to the holder that has them: without it
    /// a process that is done with a key would get the votes for a resubmission and start the
    /// tasks a second time.
    #[derive(Copy, Hash, PartialOrd, Ord, Default)]
    pub struct Holder {
        /// The process.
        pub process: Process,
        /// Counts the attempts of the process, over all keys.
        pub attempt: u64,
    }
}
