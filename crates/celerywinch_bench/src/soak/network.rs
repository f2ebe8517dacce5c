//! The fake network: what becomes of a message.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// How a network behaves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Weather {
    /// Share of messages that are lost.
    pub(crate) loss: f64,
    /// Share of messages that arrive twice.
    pub(crate) doubled: f64,
    /// Share of messages that arrive very late.
    pub(crate) straggling: f64,
}

/// The fake network between entries.
#[derive(Debug)]
pub(crate) struct Network {
    pub(crate) weather: Weather,
    /// Pairs (from, to) between which nothing passes.
    cuts: BTreeSet<(usize, usize)>,
}

/// The shortest and longest usual delay, in microseconds.
const USUAL: std::ops::Range<u64> = 100..2_000;
/// The delay of a straggler, in microseconds.
const LATE: std::ops::Range<u64> = 20_000..4_000_000;

impl Network {
    pub(crate) fn new() -> Self {
        let weather = Weather {
            loss: 0.01,
            doubled: 0.02,
            straggling: 0.01,
        };
        Self {
            weather,
            cuts: BTreeSet::new(),
        }
    }

    /// When the copies of a message arrive, counted from now.
    pub(crate) fn deliveries(
        &self,
        from: usize,
        to: usize,
        random: &mut ChaCha8Rng,
    ) -> Vec<Duration> {
        if self.cuts.contains(&(from, to)) || random.random_bool(self.weather.loss) {
            return Vec::new();
        }
        let copies = 1 + usize::from(random.random_bool(self.weather.doubled));
        (0..copies).map(|_| self.delay(random)).collect()
    }

    fn delay(&self, random: &mut ChaCha8Rng) -> Duration {
        let range = if random.random_bool(self.weather.straggling) {
            LATE
        } else {
            USUAL
        };
        Duration::from_micros(random.random_range(range))
    }

    pub(crate) fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
    }

    pub(crate) fn whole(&self) -> bool {
        self.cuts.is_empty()
    }
}
