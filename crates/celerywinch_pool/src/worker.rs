//! The state of a worker as the dispatcher knows it.

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
use crate::overstay::Suspicion;
use crate::run::RunKey;

new_key_type! {
    /// Identifies one incarnation of a worker.
    pub(crate) struct WorkerKey;
}

/// Whether a worker accepts the fencing token of this dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ownership {
    /// Another process owns the worker's domain, or none does.
    None,
    /// The first poll with this dispatcher's fencing token is not answered yet.
    Acquiring,
    /// The worker has accepted the fencing token.
    Owned,
}

/// The weight of a new measurement in the smoothed pace.
const PACE_WEIGHT: f64 = 0.25;
/// The weight of a new result in the smoothed failure rate.
const FAILURE_WEIGHT: f64 = 0.35;
/// The range to which a measured pace is clamped.
const PACE_RANGE: (f64, f64) = (0.4, 20.0);

/// A worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    /// The latest announcement. If the incarnation is not announced yet, that of the one before it, of which only the ID, the
    /// address and the data centre hold.
    pub(crate) announcement: WorkerAnnouncement,
    /// Whether the incarnation is announced. Its kind is not known before, so it gets no tasks.
    pub(crate) is_announced: bool,
    /// The last announcements of other incarnations. One of them may be the incarnation that is running.
    pub(crate) other_incarnations: OtherIncarnations,
    /// How the previous incarnation ended, if this dispatcher had one.
    pub(crate) previous_loss: Option<Loss>,
    /// The domain to which the worker belongs.
    pub(crate) domain: Domain,
    pub(crate) ownership: Ownership,
    /// The number of restarts since this dispatcher took the worker over.
    pub(crate) restarts: u64,
    pub(crate) runs: Vec<RunKey>,
    /// The capacity used by its runs, including those whose end is not listed yet.
    pub(crate) used: Resources,
    /// The capacity held for reservations.
    pub(crate) held: Resources,
    /// The number of runs of other dispatchers that were neither adopted nor seen to end.
    pub(crate) foreign_runs: usize,
    /// The serial number of the last end that was processed, and of the last one that was acknowledged to the worker.
    pub(crate) cursor: u64,
    pub(crate) acked_cursor: u64,
    /// The last reading of the worker's clock, with the time of its arrival.
    clock: Option<(Time, WorkerClock)>,
    /// The end of the lease: no run is active later than this unless the lease is extended.
    pub(crate) lease: Time,
    /// The outstanding long poll.
    pub(crate) long_poll: Option<CallKey>,
    /// The outstanding short poll, which settles a request without an answer.
    pub(crate) short_poll: Option<CallKey>,
    /// The input count at which the newest applied list was requested.
    pub(crate) list_input: u64,
    /// The times that the worker took to answer start requests.
    pub(crate) answer_times: AnswerTimes,
    /// When to poll next even if nothing runs.
    pub(crate) next_poll: Time,
    /// The number of calls in a row without an answer, and when the first of them was noticed.
    pub(crate) missed_calls: u32,
    first_miss: Time,
    /// The time of the last answer; an idle worker is polled rarely.
    pub(crate) last_contact: Time,
    /// The ratio of run times on this worker to the usual run time.
    pub(crate) pace: f64,
    /// The number of run times from which the pace was learned.
    pub(crate) results: u32,
    /// The smoothed share of failures among its latest results.
    pub(crate) failure_rate: f64,
    /// The worker gets no tasks before this time.
    pub(crate) quarantined_until: Time,
    /// Whether the worker gets one task at a time until one succeeds.
    pub(crate) probation: bool,
    /// The suspicion that it is slow.
    pub(crate) suspicion: Option<Suspicion>,
    /// Whether it has reported progress of a run.
    pub(crate) reports_progress: bool,
}

impl Worker {
    pub(crate) fn new(now: Time, announcement: WorkerAnnouncement, shards: u8) -> Self {
        Self {
            domain: domain_of(&announcement, shards),
            used: Resources::default(),
            held: Resources::default(),
            announcement,
            is_announced: true,
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
            results: 0,
            failure_rate: 0.0,
            quarantined_until: Time::default(),
            probation: false,
            suspicion: None,
            reports_progress: false,
        }
    }

    /// Resets all state that another dispatcher may change.
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

    /// Returns the last reading of the worker's clock.
    pub(crate) fn last_clock(&self) -> Option<WorkerClock> {
        self.clock.map(|(_, clock)| clock)
    }

    /// Returns whether an answer comes from another incarnation than the known one. Some workers state their incarnation in lists
    /// only.
    pub(crate) fn is_other_incarnation(&self, incarnation: Incarnation) -> bool {
        let known = self.announcement.version.incarnation;
        known != Incarnation::default() && incarnation != known
    }

    /// Returns whether the worker is owned, answers, is idle, and has all its ends acknowledged.
    pub(crate) fn is_settled(&self) -> bool {
        let idle = self.runs.is_empty() && self.foreign_runs == 0;
        idle && self.ownership == Ownership::Owned
            && self.missed_calls == 0
            && self.cursor == self.acked_cursor
    }

    /// Returns the time between polls of an idle worker: `max`, shortened by up to a quarter by a hash of its id.
    /// Otherwise workers that were taken over together would always be polled together, and a process that stalls for
    /// 100 ms at that moment would consider all of them silent and refuse callers.
    pub(crate) fn idle_interval(&self, max: Duration) -> Duration {
        let spread = u64::from(u32::MAX);
        let share = stable_hash(self.announcement.id.as_bytes()) % spread;
        max - max.mul_f64(share as f64 / spread as f64 / 4.0)
    }

    /// Returns the outstanding poll of a kind.
    pub(crate) fn outstanding_poll(&mut self, kind: PollKind) -> &mut Option<CallKey> {
        match kind {
            PollKind::Long => &mut self.long_poll,
            PollKind::Short => &mut self.short_poll,
        }
    }

    /// Records a call without an answer.
    pub(crate) fn record_miss(&mut self, now: Time) {
        if self.missed_calls == 0 {
            self.first_miss = now;
        }
        self.missed_calls += 1;
    }

    /// Returns whether calls have failed for longer than `remove_after` and no run of this dispatcher can be active there.
    ///
    /// The age of the last contact does not matter, since an idle worker is polled rarely. A dispatcher that counted
    /// from the last answer removed such a worker together with its run when the answer to the first start was late,
    /// and the task ran a second time elsewhere. Runs are given up only when their lease expires.
    pub(crate) fn is_lost(&self, now: Time, remove_after: Duration) -> bool {
        self.missed_calls > 0 && self.runs.is_empty() && now.since(self.first_miss) > remove_after
    }

    /// Returns whether the clock reading is recent enough for a lease. A lease counted from a reading that is minutes
    /// old could last seconds longer than a successor waits for it, and the task would run on both.
    fn has_recent_clock(&self, now: Time) -> bool {
        let read = self.clock.map(|(read, _)| now.since(read));
        read.is_some_and(|age| age <= MAX_READING_AGE)
    }

    /// Returns the end of a lease that starts now, on the worker's clock, or none before the first reading.
    pub(crate) fn deadline(&self, now: Time, lease: Duration) -> Option<WorkerClock> {
        let (read, clock) = self.clock?;
        let ahead = now.since(read) + lease;
        Some(WorkerClock(clock.0 + millis(ahead)))
    }

    /// Returns the latest time at which a lease requested now can end, on the pool's clock.
    pub(crate) fn lease_bound(&self, now: Time, lease: Duration) -> Time {
        let read = self.clock.map_or(now, |(read, _)| read);
        // The worker's clock may have run slow since the reading, which may be older than the lease.
        let drift = (now.since(read) + lease).mul_f64(MAX_CLOCK_DRIFT);
        now + lease + drift + LEASE_MARGIN
    }

    /// Returns the latest time at which a lease that another dispatcher has requested by now can end.
    pub(crate) fn foreign_lease_bound(now: Time, lease: Duration) -> Time {
        let drift = (MAX_READING_AGE + lease).mul_f64(MAX_CLOCK_DRIFT);
        now + lease + drift + LEASE_MARGIN
    }

    /// Returns the free capacity. It is zero if the capacity has shrunk below what is in use: those runs continue, and
    /// new tasks wait.
    pub(crate) fn free(&self) -> Resources {
        let free = self.announcement.capacity.saturating_sub(self.used);
        free.saturating_sub(self.held)
    }

    /// Returns whether a new task may be sent to the worker.
    pub(crate) fn accepts_tasks(&self, now: Time) -> bool {
        let unused = self.runs.is_empty() && self.held == Resources::default();
        self.is_available(now) && (!self.probation || unused)
    }

    /// Returns whether tasks may be sent to the worker, now or when its present ones have ended.
    pub(crate) fn is_available(&self, now: Time) -> bool {
        let answers =
            self.ownership == Ownership::Owned && self.missed_calls == 0 && self.foreign_runs == 0;
        answers
            && self.is_announced
            && self.has_recent_clock(now)
            && self.announcement.stage == WorkerStage::Ready
            && self.quarantined_until <= now
    }

    pub(crate) fn is_in_rack(&self, rack: &str) -> bool {
        self.announcement.labels.iter().any(|label| label == rack)
    }

    /// Records a run time as a ratio to the expected time on a usual worker.
    pub(crate) fn learn_pace(&mut self, ratio: f64) {
        self.results = self.results.saturating_add(1);
        let ratio = ratio.clamp(PACE_RANGE.0, PACE_RANGE.1);
        self.pace = (self.pace.ln() * (1.0 - PACE_WEIGHT) + ratio.ln() * PACE_WEIGHT).exp();
    }

    pub(crate) fn record_success(&mut self) {
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
        self.probation &= self.suspicion.is_some();
    }

    pub(crate) fn record_failure(&mut self) {
        self.failure_rate = self.failure_rate * (1.0 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
    }

    /// Takes back a failure that turned out to be the fault of the task.
    pub(crate) fn retract_failure(&mut self) {
        self.failure_rate = (self.failure_rate - FAILURE_WEIGHT).max(0.0);
    }
}

/// Returns the domain of a worker, by a hash of its address, which stays the same over its incarnations.
pub(crate) fn domain_of(announcement: &WorkerAnnouncement, shards: u8) -> Domain {
    let hash = stable_hash(announcement.addr.to_string().as_bytes());
    Domain {
        dc: announcement.dc,
        shard: (hash % u64::from(shards.max(1))) as u8,
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
