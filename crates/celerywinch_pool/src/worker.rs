//! What is known of a worker.

use std::time::Duration;

use celerywinch_types::{
    Domain, Incarnation, Resources, Time, WorkerAnnouncement, WorkerClock, WorkerStage, stable_hash,
};
use slotmap::new_key_type;

use crate::answer_times::AnswerTimes;
use crate::call::{CallKey, PollKind};
use crate::config::{LEASE_MARGIN, MAX_CLOCK_DRIFT, MAX_READING_AGE};
use crate::incarnations::OtherIncarnations;
use crate::leases::Loss;
use crate::run::RunKey;

new_key_type! {
    /// Names one life of a worker.
    pub(crate) struct WorkerKey;
}

/// Whether a worker obeys this dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ownership {
    /// Another process dispatches for its data centre, or nobody does.
    None,
    /// The first look under this dispatcher's fencing token is not answered yet.
    Acquiring,
    /// It obeys.
    Owned,
}

/// How much a new measurement of the pace counts.
const PACE_WEIGHT: f64 = 0.25;
/// How much a new result counts in the share of failures.
const FAILURE_WEIGHT: f64 = 0.35;
/// Bounds of a believable pace.
const PACE_RANGE: (f64, f64) = (0.4, 20.0);

/// A worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) note: WorkerAnnouncement,
    /// The last words of other lives. One of them may be the life that is there.
    pub(crate) other_incarnations: OtherIncarnations,
    /// How the life before this one ended, if there was one here.
    pub(crate) previous_loss: Option<Loss>,
    /// Whose dispatcher it obeys.
    pub(crate) domain: Domain,
    pub(crate) ownership: Ownership,
    /// How often it has started again since this dispatcher took it over.
    pub(crate) restarts: u64,
    pub(crate) runs: Vec<RunKey>,
    /// What its runs need, those too whose end is not listed yet.
    pub(crate) used: Resources,
    /// Runs of another dispatcher that were neither adopted nor seen to end.
    pub(crate) foreign_runs: usize,
    /// The last end that was taken note of, and the last that the worker was told of.
    pub(crate) cursor: u64,
    pub(crate) acked_cursor: u64,
    /// A reading of its clock, and when it arrived.
    clock: Option<(Time, WorkerClock)>,
    /// Nothing runs there later than this, unless the lease is extended.
    pub(crate) lease: Time,
    /// The look that is under way.
    pub(crate) long_poll: Option<CallKey>,
    /// A look beside that which answers at once, to settle an order without an answer.
    pub(crate) short_poll: Option<CallKey>,
    /// The input during which the newest list that was read was asked for.
    pub(crate) list_input: u64,
    /// What its answers to orders took.
    pub(crate) answer_times: AnswerTimes,
    /// When to look again though nothing runs.
    pub(crate) next_poll: Time,
    /// Looks and orders in a row without an answer, and when the first of them was noticed.
    pub(crate) missed_calls: u32,
    first_miss: Time,
    /// When it answered last; an idle one is not asked.
    pub(crate) last_contact: Time,
    /// How much longer than usual work takes there.
    pub(crate) pace: f64,
    /// The share of failures among its last results.
    pub(crate) failure_rate: f64,
    /// It gets no work until then.
    pub(crate) quarantined_until: Time,
    /// After that, one task at a time until one succeeds.
    pub(crate) probation: bool,
}

impl Worker {
    pub(crate) fn new(now: Time, note: WorkerAnnouncement, shards: u8) -> Self {
        Self {
            domain: domain_of(&note, shards),
            used: Resources::default(),
            note,
            other_incarnations: OtherIncarnations::default(),
            previous_loss: None,
            ownership: Ownership::None,
            restarts: 0,
            runs: Vec::new(),
            foreign_runs: 0,
            cursor: 0,
            acked_cursor: 0,
            clock: None,
            lease: Time::default(),
            long_poll: None,
            short_poll: None,
            list_input: 0,
            answer_times: AnswerTimes::default(),
            next_poll: Time::NEVER,
            missed_calls: 0,
            first_miss: now,
            last_contact: now,
            pace: 1.0,
            failure_rate: 0.0,
            quarantined_until: Time::default(),
            probation: false,
        }
    }

    /// Forgets all that another dispatcher may have changed.
    pub(crate) fn reset(&mut self) {
        self.ownership = Ownership::None;
        self.restarts = 0;
        self.runs.clear();
        self.used = Resources::default();
        self.foreign_runs = 0;
        self.cursor = 0;
        self.acked_cursor = 0;
        self.long_poll = None;
        self.short_poll = None;
        self.next_poll = Time::NEVER;
        self.missed_calls = 0;
    }

    pub(crate) fn read_clock(&mut self, now: Time, clock: WorkerClock) {
        self.clock = Some((now, clock));
        self.last_contact = now;
        self.missed_calls = 0;
    }

    /// Whether an answer is of another life of the worker than the one that is known.
    pub(crate) fn is_other_incarnation(&self, life: Incarnation) -> bool {
        let known = self.note.version.incarnation;
        known != Incarnation::default() && life != known
    }

    /// Whether it obeys and answers, has nothing to do, and was told of all ends that were read.
    pub(crate) fn is_settled(&self) -> bool {
        let idle = self.runs.is_empty() && self.foreign_runs == 0;
        idle && self.ownership == Ownership::Owned
            && self.missed_calls == 0
            && self.cursor == self.acked_cursor
    }

    /// How long after a look an idle one is looked at again: up to a quarter less than `most`, by its name. Workers that
    /// were taken over together would else be looked at together for ever, and a process that stands still for
    /// 100 ms right then would take all of them for silent, and refuse callers.
    pub(crate) fn idle_interval(&self, most: Duration) -> Duration {
        let spread = u64::from(u32::MAX);
        let share = stable_hash(self.note.id.as_bytes()) % spread;
        most - most.mul_f64(share as f64 / spread as f64 / 4.0)
    }

    /// The look of a kind that is under way.
    pub(crate) fn outstanding_poll(&mut self, kind: PollKind) -> &mut Option<CallKey> {
        match kind {
            PollKind::Long => &mut self.long_poll,
            PollKind::Short => &mut self.short_poll,
        }
    }

    /// An order or a look had no answer.
    pub(crate) fn record_miss(&mut self, now: Time) {
        if self.missed_calls == 0 {
            self.first_miss = now;
        }
        self.missed_calls += 1;
    }

    /// Whether it was asked in vain for so long, and nothing of this dispatcher can be at work there any more.
    ///
    /// That it was not heard for as long says nothing: an idle worker is not asked. A dispatcher that counted
    /// from the last answer forgot such a worker, and its run with it, when the answer to the first order was
    /// late, and the caller's task ran a second time elsewhere. Runs are given up with their lease alone.
    pub(crate) fn is_lost(&self, now: Time, forget: Duration) -> bool {
        self.missed_calls > 0 && self.runs.is_empty() && now.since(self.first_miss) > forget
    }

    /// Whether a lease can be counted from the last reading of its clock. From one of minutes ago it might last
    /// seconds longer than a successor waits for it, and the caller's task run at both.
    fn has_clock(&self, now: Time) -> bool {
        let read = self.clock.map(|(read, _)| now.since(read));
        read.is_some_and(|age| age <= MAX_READING_AGE)
    }

    /// The end of a lease that starts now, on the worker's clock; none before the first reading.
    pub(crate) fn deadline(&self, now: Time, lease: Duration) -> Option<WorkerClock> {
        let (read, clock) = self.clock?;
        let ahead = now.since(read) + lease;
        Some(WorkerClock(clock.0 + millis(ahead)))
    }

    /// The latest moment at which a lease that is asked for now can end, in the pool's time.
    pub(crate) fn lease_bound(&self, now: Time, lease: Duration) -> Time {
        let read = self.clock.map_or(now, |(read, _)| read);
        // The reading may be older than the lease: its clock may have run slow since.
        let drift = (now.since(read) + lease).mul_f64(MAX_CLOCK_DRIFT);
        now + lease + drift + LEASE_MARGIN
    }

    /// The latest moment at which a lease that another dispatcher has asked for by now can end.
    pub(crate) fn foreign_lease_bound(now: Time, lease: Duration) -> Time {
        let drift = (MAX_READING_AGE + lease).mul_f64(MAX_CLOCK_DRIFT);
        now + lease + drift + LEASE_MARGIN
    }

    /// What is free. Nothing where its room has shrunk below what is at work there: that ends as it would, and what
    /// comes next waits.
    pub(crate) fn free(&self) -> Resources {
        self.note.capacity.saturating_sub(self.used)
    }

    /// Whether a new task may be sent there.
    pub(crate) fn accepts_tasks(&self, now: Time) -> bool {
        let sound =
            self.ownership == Ownership::Owned && self.missed_calls == 0 && self.foreign_runs == 0;
        let idle = !self.probation || self.runs.is_empty();
        sound
            && idle
            && self.has_clock(now)
            && self.note.stage == WorkerStage::Ready
            && self.quarantined_until <= now
    }

    pub(crate) fn is_in_rack(&self, rack: &str) -> bool {
        self.note.labels.iter().any(|label| label == rack)
    }

    /// Takes a run time into account, relative to what was expected on a usual worker.
    pub(crate) fn learn_pace(&mut self, ratio: f64) {
        let ratio = ratio.clamp(PACE_RANGE.0, PACE_RANGE.1);
        self.pace = (self.pace.ln() * (1.0 - PACE_WEIGHT) + ratio.ln() * PACE_WEIGHT).exp();
    }

    pub(crate) fn record_success(&mut self) {
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
        self.probation = false;
    }

    pub(crate) fn record_failure(&mut self) {
        self.failure_rate = self.failure_rate * (1.0 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
    }

    /// A failure turned out to be the task's own fault.
    pub(crate) fn retract_failure(&mut self) {
        self.failure_rate = (self.failure_rate - FAILURE_WEIGHT).max(0.0);
    }
}

/// By the address, which a worker keeps over its lives.
pub(crate) fn domain_of(note: &WorkerAnnouncement, shards: u8) -> Domain {
    let hash = stable_hash(note.addr.to_string().as_bytes());
    Domain {
        dc: note.dc,
        shard: (hash % u64::from(shards.max(1))) as u8,
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
