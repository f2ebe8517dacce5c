//! Creation and text encoding of the counters, gauges and histograms of a process.
//!
//! The names of all metrics start with `celerywinch_`.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// A registry of metrics that are encoded together; all clones share it.
#[derive(Clone, Debug)]
pub struct Meter {
    registry: Registry,
}

impl Meter {
    /// Creates a registry without metrics.
    ///
    /// # Errors
    ///
    /// The prefix of the names is invalid.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new_custom(Some("celerywinch".into()), None)?;
        Ok(Self { registry })
    }

    /// Registers a counter.
    ///
    /// # Errors
    ///
    /// The name is invalid or already in use.
    pub fn counter(&self, name: &str, help: &str) -> prometheus::Result<IntCounter> {
        let counter = IntCounter::new(name, help)?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    /// Registers a set of counters that differ in one label.
    ///
    /// # Errors
    ///
    /// The name is invalid or already in use.
    pub fn counter_vec(
        &self,
        name: &str,
        help: &str,
        label: &str,
    ) -> prometheus::Result<IntCounterVec> {
        let counter_vec = IntCounterVec::new(Opts::new(name, help), &[label])?;
        self.registry.register(Box::new(counter_vec.clone()))?;
        Ok(counter_vec)
    }

    /// Registers a gauge.
    ///
    /// # Errors
    ///
    /// The name is invalid or already in use.
    pub fn gauge(&self, name: &str, help: &str) -> prometheus::Result<IntGauge> {
        let gauge = IntGauge::new(name, help)?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// Registers a set of gauges that differ in one label.
    ///
    /// # Errors
    ///
    /// The name is invalid or already in use.
    pub fn gauge_vec(
        &self,
        name: &str,
        help: &str,
        label: &str,
    ) -> prometheus::Result<IntGaugeVec> {
        let gauge_vec = IntGaugeVec::new(Opts::new(name, help), &[label])?;
        self.registry.register(Box::new(gauge_vec.clone()))?;
        Ok(gauge_vec)
    }

    /// Registers a histogram with the upper bounds of its buckets.
    ///
    /// # Errors
    ///
    /// The name is invalid or already in use.
    pub fn histogram(
        &self,
        name: &str,
        help: &str,
        bounds: &[f64],
    ) -> prometheus::Result<Histogram> {
        let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
        let histogram = Histogram::with_opts(options)?;
        self.registry.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }

    /// Encodes all metrics in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// A metric cannot be encoded.
    pub fn encode(&self) -> prometheus::Result<String> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}
