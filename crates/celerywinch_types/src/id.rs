//! Identifiers of instances and data centres.

use std::fmt;

use crate::{domain, identifier};

identifier! {
    /// An instance of the system, numbered in the settings.
    #[derive(Default)]
    pub struct InstanceId(pub u16);

    /// A data centre, numbered in the settings.
    pub struct DataCentreId(pub u8);

    /// One life of a process; a later life of the same instance has a greater number.
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
    /// The one process life that may start the tasks of a key.
    #[derive(Copy, Hash, PartialOrd, Ord, Default)]
    pub struct Holder {
        /// The instance.
        pub instance: InstanceId,
        /// Which life of it.
        pub incarnation: Incarnation,
    }
}
