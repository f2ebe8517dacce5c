//! The state of an entry, and the dispatch of its inputs and timers.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use celerywinch_catalogue::Catalogue;
use celerywinch_claims::{Homes, Replica};
use celerywinch_dispatch::{Dispatch, JobId};
use celerywinch_members::{Endpoints, Peers};
use celerywinch_types::{
    Ballot, DataCentreId, InstanceId, Key, MemberMsg, Outcome, PeerMsg, Time, TimerQueue, WallMs,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use crate::catalogues::CatalogueState;
use crate::job::{Job, Phase, Waiter};
use crate::tasks::PendingCall;
use crate::{CallId, Config, Event, Input, Invariant, Output, Reply};

/// Interval between rounds of housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between messages about decided keys to a replica.
const DECIDED_INTERVAL: Duration = Duration::from_millis(50);
/// Largest number of records that a replica removes in one round of housekeeping.
const MAX_EXPIRED: usize = 2000;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Timer {
    /// The deadline of a job is about to pass.
    Deadline(JobId),
    /// The messages of a job are sent again, as they may have been lost.
    Resend(JobId),
    /// Periodic work.
    Housekeeping,
    /// Replicas are notified of decided keys.
    Decided,
}

/// Figures for status pages and metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// The number of jobs without an outcome.
    pub open_jobs: usize,
    /// The number of tasks that wait for a slot.
    pub queued_tasks: usize,
    /// The number of serving endpoints.
    pub endpoints: usize,
    /// The number of endpoints that are quarantined or on probation.
    pub suspended: usize,
    /// The number of keys recorded by the local replicas.
    pub claim_records: usize,
    /// The version of the catalogue in force.
    pub catalogue_version: u64,
    /// Whether this entry may serve by that catalogue.
    pub current: bool,
    /// Whether a planned stop is under way.
    pub stopping: bool,
    /// The number of assertions that failed.
    pub violations: u64,
}

/// The state machine of an entry instance.
#[derive(Debug)]
pub struct Entry {
    pub(crate) config: Config,
    pub(crate) homes: Homes,
    pub(crate) catalogue: Arc<Catalogue>,
    pub(crate) catalogue_state: CatalogueState,
    pub(crate) replicas: BTreeMap<DataCentreId, Replica>,
    pub(crate) peers: Peers,
    pub(crate) endpoints: Endpoints,
    pub(crate) dispatch: Dispatch,
    pub(crate) jobs: SlotMap<JobId, Job>,
    /// The jobs of open submissions, by key.
    pub(crate) submissions: HashMap<Key, JobId>,
    /// The jobs of open lookups. They are kept apart, because they have no tasks that a submission could join.
    pub(crate) lookups: HashMap<Key, JobId>,
    pub(crate) calls: HashMap<CallId, PendingCall>,
    pub(crate) next_call: u64,
    pub(crate) timers: TimerQueue<Timer>,
    pub(crate) unsent_decisions: BTreeMap<InstanceId, Vec<(Key, Ballot)>>,
    pub(crate) stopping: bool,
    pub(crate) heartbeat_sequence: u64,
    pub(crate) last_renewals: Time,
    pub(crate) last_borrow: Time,
    pub(crate) settle_round: u32,
    pub(crate) attempts: u64,
    pub(crate) violations: u64,
    pub(crate) rng: ChaCha8Rng,
    started_at: Time,
}

impl Entry {
    /// Creates the entry of an incarnation that starts at `now`.
    #[must_use]
    pub fn new(config: Config, now: Time) -> Self {
        let homes = Homes::new(&config.instances);
        let me = config.me.instance;
        let replica = |dc| (dc, Replica::new(config.limits, config.start_wall));
        let replicas = homes.memberships(me).map(replica).collect();
        let others = config.instances.iter().filter(|(id, ..)| *id != me);
        let others = others.map(|(id, dc, _)| (*id, *dc));
        let mut timers = TimerQueue::default();
        timers.subscribe(now, Timer::Housekeeping);
        timers.subscribe(now + DECIDED_INTERVAL, Timer::Decided);
        Self {
            peers: Peers::new(config.dc, config.detector, others),
            dispatch: Dispatch::new(me, config.policy, config.seed),
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            homes,
            replicas,
            timers,
            config,
            catalogue: Arc::new(Catalogue::default()),
            catalogue_state: CatalogueState::default(),
            endpoints: Endpoints::default(),
            jobs: SlotMap::with_key(),
            submissions: HashMap::new(),
            lookups: HashMap::new(),
            calls: HashMap::new(),
            next_call: 0,
            unsent_decisions: BTreeMap::new(),
            stopping: false,
            heartbeat_sequence: 0,
            last_renewals: now,
            last_borrow: now,
            settle_round: 0,
            attempts: 0,
            violations: 0,
            started_at: now,
        }
    }

    /// Processes an input and appends the outputs that the host has to carry out.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Submit(id, submission) => {
                self.submit(now, Waiter::Caller(id), submission, out);
            }
            Input::Lookup(id, key) => self.lookup(now, Waiter::Caller(id), key, out),
            Input::Cancel(id, keys) => self.cancel(now, id, keys, out),
            Input::PeerMessage(from, msg) => self.peer_msg(now, from, msg, out),
            Input::ConnectionRefused(id) => self.connection_refused(now, id, out),
            Input::Announce(announcement) => self.announce(now, announcement, out),
            Input::CallEnded(id, end) => self.call_ended(now, id, end, out),
            Input::InitialCatalogue(catalogue) => self.initial_catalogue(catalogue, out),
            Input::CatalogueCommitted(catalogue, leads) => {
                self.catalogue_committed(now, catalogue, leads, out)
            }
            Input::CatalogueSaved(version) => self.catalogue_saved(now, version, out),
            Input::Stop => self.stop(out),
            Input::Tick => {}
        }
        self.run_timers(now, out);
        self.start_queued(now, out);
        self.borrow_slots(now, out);
    }

    /// Returns the latest time at which the next [`Input::Tick`] is needed.
    #[must_use]
    pub fn next_due(&self) -> Option<Time> {
        self.timers.next_due()
    }

    /// Returns the figures for status pages and metrics.
    #[must_use]
    pub fn status(&self) -> Status {
        let (endpoints, suspended) = self.dispatch.endpoint_counts();
        Status {
            open_jobs: self.jobs.len(),
            queued_tasks: self.dispatch.queued(),
            endpoints,
            suspended,
            claim_records: self.replicas.values().map(Replica::len).sum(),
            catalogue_version: self.catalogue.version(),
            current: self.catalogue_state.current,
            stopping: self.stopping,
            violations: self.violations,
        }
    }

    /// Returns the other instances, for status pages.
    #[must_use]
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns the known endpoints, for status pages.
    #[must_use]
    pub fn endpoints(&self) -> &Endpoints {
        &self.endpoints
    }

    /// Returns the catalogue in force.
    #[must_use]
    pub fn catalogue(&self) -> &Arc<Catalogue> {
        &self.catalogue
    }

    /// Whether this entry may serve by the catalogue in force.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.catalogue_state.current
    }

    /// Whether a planned stop is under way and no job or call is left.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.stopping && self.jobs.is_empty() && self.calls.is_empty()
    }

    /// Returns the wall-clock time. It is derived from the monotonic clock and does not jump while the process runs.
    pub(crate) fn wall(&self, now: Time) -> WallMs {
        let passed = now.since(self.started_at).as_millis();
        let passed = u64::try_from(passed).unwrap_or(u64::MAX);
        WallMs(self.config.start_wall.0.saturating_add(passed))
    }

    pub(crate) fn me(&self) -> InstanceId {
        self.config.me.instance
    }

    /// Records a violation of an invariant if `holds` is false.
    pub(crate) fn assert(
        &mut self,
        holds: bool,
        invariant: Invariant,
        detail: impl FnOnce() -> String,
        out: &mut Vec<Output>,
    ) {
        if holds {
            return;
        }
        self.violations += 1;
        let detail = detail();
        out.push(Output::Event(Event::Violation { invariant, detail }));
    }

    /// Begins a planned stop.
    fn stop(&mut self, out: &mut Vec<Output>) {
        self.stopping = true;
        let open = u32::try_from(self.jobs.len()).unwrap_or(u32::MAX);
        out.push(Output::Event(Event::Stop { open }));
        let peers: Vec<_> = self.peers.iter().map(|(id, _)| id).collect();
        for peer in peers {
            out.push(Output::Send(peer, PeerMsg::Member(MemberMsg::Leave)));
        }
        self.refresh_owners();
        self.send_decided(out);
    }

    fn run_timers(&mut self, now: Time, out: &mut Vec<Output>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Deadline(id) => self.deadline_passed(now, id, out),
                Timer::Resend(id) => self.resend(now, id, out),
                Timer::Housekeeping => {
                    self.housekeeping(now, out);
                    self.timers
                        .subscribe(now + HOUSEKEEPING_INTERVAL, Timer::Housekeeping);
                }
                Timer::Decided => {
                    self.send_decided(out);
                    self.timers
                        .subscribe(now + DECIDED_INTERVAL, Timer::Decided);
                }
            }
        }
    }

    fn housekeeping(&mut self, now: Time, out: &mut Vec<Output>) {
        self.tick_members(now, out);
        let wall = self.wall(now);
        for replica in self.replicas.values_mut() {
            replica.expire(wall, MAX_EXPIRED);
        }
        for job in self.dispatch.infeasible_jobs(now) {
            self.end_infeasible(now, job, out);
        }
        self.tick_slots(now, out);
        self.tick_catalogue(now, out);
    }

    /// Removes a job and replies to all of its waiters with the outcome.
    pub(crate) fn complete_job(&mut self, id: JobId, outcome: &Outcome, out: &mut Vec<Output>) {
        let Some(job) = self.remove_job(id) else {
            return;
        };
        self.check_outcome(&job, outcome, out);
        let detail = match outcome {
            Outcome::Answer(_) => String::new(),
            Outcome::Failure(failure) => format!("{:?}: {}", failure.step, failure.detail),
            Outcome::Refusal(refusal) => format!("{:?}", refusal.reason),
        };
        out.push(Output::Event(Event::Outcome {
            key: job.key.clone(),
            outcome: outcome.name().into(),
            detail,
        }));
        for waiter in &job.waiters {
            self.send_reply(
                *waiter,
                &job.key,
                job.digest,
                Reply::Outcome(outcome.clone()),
                out,
            );
        }
    }

    /// Checks the invariants of an outcome.
    fn check_outcome(&mut self, job: &Job, outcome: &Outcome, out: &mut Vec<Output>) {
        let local = !job.tasks.is_empty() && !matches!(job.phase, Phase::Relayed(_));
        let detail = || format!("key {}", job.key);
        match outcome {
            Outcome::Answer(results) if !job.bodies.is_empty() => {
                let complete = results.len() == job.bodies.len();
                self.assert(complete, Invariant::WholeAnswer, detail, out);
            }
            Outcome::Refusal(_) if local => {
                self.assert(!job.started(), Invariant::TrueRefusal, detail, out);
            }
            Outcome::Answer(_) | Outcome::Failure(_) | Outcome::Refusal(_) => {}
        }
    }
}
