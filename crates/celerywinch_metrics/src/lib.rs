//! Making the counters, gauges and histograms of a process, and writing them as text.
//!
//! All names start with `celerywinch_`.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Makes figures that are told together; every clone tells the same ones.
#[derive(Clone, Debug)]
pub struct Meter {
    registry: Registry,
}

impl Meter {
    /// Without any figure yet.
    ///
    /// # Errors
    ///
    /// The prefix of the names is not accepted.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new_custom(Some("celerywinch".into()), None)?;
        Ok(Self { registry })
    }

    /// A counter.
    ///
    /// # Errors
    ///
    /// The name is bad, or used already.
    pub fn counter(&self, name: &str, help: &str) -> prometheus::Result<IntCounter> {
        let counter = IntCounter::new(name, help)?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    /// Counters that differ in one label.
    ///
    /// # Errors
    ///
    /// The name is bad, or used already.
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

    /// A gauge.
    ///
    /// # Errors
    ///
    /// The name is bad, or used already.
    pub fn gauge(&self, name: &str, help: &str) -> prometheus::Result<IntGauge> {
        let gauge = IntGauge::new(name, help)?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// A histogram with these bounds.
    ///
    /// # Errors
    ///
    /// The name is bad, or used already.
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

    /// All figures as text.
    ///
    /// # Errors
    ///
    /// A figure cannot be written.
    pub fn encode(&self) -> prometheus::Result<String> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}
