//! The configuration of an entry.

use std::time::Duration;

use celerywinch_claims::{Homes, Limits};
use celerywinch_dispatch::Policy;
use celerywinch_members::DetectorConfig;
use celerywinch_types::{DataCentreId, InstanceId, Process, WallMs};

/// The configuration of an entry, created by a [`ConfigBuilder`].
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) me: Process,
    pub(crate) dc: DataCentreId,
    /// The wall-clock time at the start.
    pub(crate) start_wall: WallMs,
    pub(crate) seed: u64,
    pub(crate) instances: Vec<(InstanceId, DataCentreId, String)>,
    pub(crate) limits: Limits,
    pub(crate) detector: DetectorConfig,
    pub(crate) policy: Policy,
    /// How long before the caller's deadline a job ends; less for jobs with little time left.
    pub(crate) deadline_margin: Duration,
    pub(crate) keepers: Vec<InstanceId>,
    /// Whether the host saves catalogues on a disk that outlives the process.
    pub(crate) durable: bool,
}

/// Builds a [`Config`].
#[derive(Clone, Debug)]
pub struct ConfigBuilder(Config);

impl ConfigBuilder {
    /// Creates a builder for this process, its data centre, the current wall-clock time and all instances.
    ///
    /// Every process must get the same instances, because the homes and replicas of keys are derived from them.
    #[must_use]
    pub fn new(
        me: Process,
        dc: DataCentreId,
        wall: WallMs,
        instances: Vec<(InstanceId, DataCentreId, String)>,
    ) -> Self {
        Self(Config {
            me,
            dc,
            start_wall: wall,
            seed: u64::from(me.instance.0),
            instances,
            limits: Limits {
                window: Duration::from_secs(30),
                skew: Duration::from_millis(250),
                retention: Duration::from_secs(60),
            },
            detector: DetectorConfig::default(),
            policy: Policy::default(),
            deadline_margin: Duration::from_millis(3),
            keepers: Vec::new(),
            durable: false,
        })
    }

    /// Sets the seed of the random number generator.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.0.seed = seed;
        self
    }

    /// Sets the limits on the age of keys, which must be the same in every process.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.0.limits = limits;
        self
    }

    /// Sets the intervals and limits of the failure detector.
    #[must_use]
    pub fn detector(mut self, detector: DetectorConfig) -> Self {
        self.0.detector = detector;
        self
    }

    /// Sets the keepers of the catalogue. Without keepers, the entry may serve by the initial catalogue at once.
    #[must_use]
    pub fn keepers(mut self, keepers: Vec<InstanceId>) -> Self {
        self.0.keepers = keepers;
        self
    }

    /// Sets whether the host saves catalogues on a disk that outlives the process.
    #[must_use]
    pub fn durable(mut self, durable: bool) -> Self {
        self.0.durable = durable;
        self
    }

    /// Sets how endpoints are chosen.
    #[must_use]
    pub fn policy(mut self, policy: Policy) -> Self {
        self.0.policy = policy;
        self
    }

    /// Returns the configuration.
    #[must_use]
    pub fn build(self) -> Config {
        self.0
    }

    /// Returns the homes and replicas that are derived from the instances.
    #[must_use]
    pub fn homes(&self) -> Homes {
        Homes::new(&self.0.instances)
    }
}
