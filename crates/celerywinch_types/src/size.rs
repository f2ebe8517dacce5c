//! Free capacity by the size of the need.

use crate::{Load, domain};

/// The smallest size, in thousandths of a core.
const MIN_CPU: f64 = 16.0;
/// Number of sizes by which the need doubles.
const STEPS_PER_DOUBLING: f64 = 16.0;

domain! {
    /// A size of tasks on a logarithmic scale, in steps of 4.4%: one byte in a heartbeat.
    #[derive(Copy, Default, PartialOrd, Ord)]
    pub struct Size(u8);

    /// The number of tasks of one size that could start at once.
    #[derive(Copy, Default)]
    pub struct SizedRoom {
        /// The size.
        pub size: Size,
        /// The number of tasks; the highest number stands for more as well.
        pub free: u8,
    }
}

impl Size {
    /// Returns the smallest size that covers a need, in thousandths of a core.
    #[must_use]
    pub fn covering(cpu: u32) -> Self {
        let doublings = (f64::from(cpu.max(1)) / MIN_CPU).log2();
        Self((doublings * STEPS_PER_DOUBLING).ceil().clamp(0.0, 255.0) as u8)
    }

    /// Returns the need that the size covers, in thousandths of a core.
    #[must_use]
    pub fn cpu(self) -> u32 {
        (MIN_CPU * (f64::from(self.0) / STEPS_PER_DOUBLING).exp2()).ceil() as u32
    }
}

impl Load {
    /// Returns how many tasks of a need could start at once, in thousandths of a core: the number of the smallest reported size
    /// that covers it, or of tasks of the usual size if no sizes are reported.
    #[must_use]
    pub fn free_for(&self, cpu: u32) -> u32 {
        let Some(largest) = self.sizes.last().filter(|room| room.size > Size::default()) else {
            return self.free;
        };
        let size = Size::covering(cpu);
        let covering = self.sizes.iter().find(|room| room.size >= size);
        covering.map_or(self.free.min(largest.free.into()), |room| room.free.into())
    }

    /// Counts tasks as started, until the next report. Returns how many of them there was no usual capacity for.
    pub fn take(&mut self, tasks: u32) -> u32 {
        let taken = tasks.min(self.free);
        self.free -= taken;
        let count = u8::try_from(tasks).unwrap_or(u8::MAX);
        for room in &mut self.sizes {
            room.free = room.free.saturating_sub(count);
        }
        tasks - taken
    }

    /// Counts all capacity as taken, until the next report.
    pub fn take_all(&mut self) {
        self.free = 0;
        for room in &mut self.sizes {
            room.free = 0;
        }
    }
}

#[cfg(test)]
#[path = "size_tests.rs"]
mod tests;
