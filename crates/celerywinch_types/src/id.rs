//! Identifiers of instances and data centres.

use std::fmt;

use crate::{domain, identifier};

identifier! {
    /// An instance of the system, numbered in the settings.
    #[derive(Default)]
    pub struct InstanceId(pub u32);

    /// A data centre, numbered in the settings.
    pub struct DataCentreId(pub u8);

    /// Distinguishes the processes that run one after the other at one instance or worker.
    ///
    /// Where the number is stored on disk, or chosen by a worker, a later one is greater. Members of a fleet draw a random
    /// number; only the links tell which of two incarnations is the later one.
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
    /// One incarnation of an instance.
    #[derive(Copy, Hash, PartialOrd, Ord, Default)]
    pub struct Process {
        /// The instance.
        pub instance: InstanceId,
        /// Its incarnation.
        pub incarnation: Incarnation,
    }

    /// One attempt of a process to acquire the claim of a key. The holder of the claim may start the tasks of the key.
    ///
    /// It includes the attempt because replicas repeat their votes for the same holder. Without it a process that
    /// is done with a key would get the votes again for a resubmission, and start the tasks a second time.
    #[derive(Copy, Hash, PartialOrd, Ord, Default)]
    pub struct Holder {
        /// The process.
        pub process: Process,
        /// The number of the attempt, counted over all keys of the process.
        pub attempt: u64,
    }
}
