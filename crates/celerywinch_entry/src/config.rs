//! What an entry is told at its start.

use std::time::Duration;

use celerywinch_claims::{Homes, Limits};
use celerywinch_dispatch::Policy;
use celerywinch_members::DetectorConfig;
use celerywinch_types::{DataCentreId, InstanceId, Process, WallMs};

/// Everything an entry is told at its start; made by [`ConfigBuilder`].
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) me: Process,
    pub(crate) dc: DataCentreId,
    pub(crate) wall: WallMs,
    pub(crate) seed: u64,
    pub(crate) instances: Vec<(InstanceId, DataCentreId, String)>,
    pub(crate) limits: Limits,
    pub(crate) detector: DetectorConfig,
    pub(crate) policy: Policy,
    pub(crate) margin: Duration,
    pub(crate) keepers: Vec<InstanceId>,
    pub(crate) durable: bool,
}

/// Builds a [`Config`].
#[derive(Clone, Debug)]
pub struct ConfigBuilder(Config);

impl ConfigBuilder {
    /// Starts with this process life, its data centre, the wall clock and all instances.
    ///
    /// Every process must be given the same instances: keys' homes and replicas follow from them.
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
            wall,
            seed: u64::from(me.instance.0),
            instances,
            limits: Limits {
                window: Duration::from_secs(30),
                skew: Duration::from_millis(250),
                retention: Duration::from_secs(60),
            },
            detector: DetectorConfig::default(),
            policy: Policy::default(),
            margin: Duration::from_millis(3),
            keepers: Vec::new(),
            durable: false,
        })
    }

    /// Seed of the random source.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.0.seed = seed;
        self
    }

    /// Bounds on the age of keys; the same in every process.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.0.limits = limits;
        self
    }

    /// Spans of the failure detector.
    #[must_use]
    pub fn detector(mut self, detector: DetectorConfig) -> Self {
        self.0.detector = detector;
        self
    }

    /// The keepers of the catalogue; without any, what the host hands over is in force at once.
    #[must_use]
    pub fn keepers(mut self, keepers: Vec<InstanceId>) -> Self {
        self.0.keepers = keepers;
        self
    }

    /// Whether the host saves catalogues on a disk that outlives the process.
    #[must_use]
    pub fn durable(mut self, durable: bool) -> Self {
        self.0.durable = durable;
        self
    }

    /// How endpoints are chosen.
    #[must_use]
    pub fn policy(mut self, policy: Policy) -> Self {
        self.0.policy = policy;
        self
    }

    /// The configuration.
    #[must_use]
    pub fn build(self) -> Config {
        self.0
    }

    /// The homes and replicas that follow from the instances.
    #[must_use]
    pub fn homes(&self) -> Homes {
        Homes::new(&self.0.instances)
    }
}
