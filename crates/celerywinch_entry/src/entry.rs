//! The state and the way of each input.

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

use crate::catalogues::Holding;
use crate::job::{Job, Phase, Waiter};
use crate::tasks::OpenCall;
use crate::{CallId, Config, Event, Input, Invariant, Output, Reply};

/// Between two rounds of housekeeping.
const HOUSEKEEPING: Duration = Duration::from_millis(20);
/// Between two messages about decided keys to a replica.
const DECIDED_EVERY: Duration = Duration::from_millis(50);
/// The most records a replica forgets in one round of housekeeping.
const EXPIRE_MOST: usize = 2000;

/// What a timer of a job is for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Timer {
    /// The deadline is about to pass.
    Deadline(JobId),
    /// Messages may have been lost.
    Resend(JobId),
    /// Regular work.
    Housekeeping,
    /// Replicas are told which keys are decided.
    Decided,
}

/// Figures for status pages and metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Jobs without an outcome.
    pub open_jobs: usize,
    /// Tasks that wait for a slot.
    pub queued_tasks: usize,
    /// Endpoints known.
    pub endpoints: usize,
    /// Endpoints set aside or on probation.
    pub suspended: usize,
    /// Keys remembered by the replicas here.
    pub claim_records: usize,
    /// Version of the catalogue in force.
    pub catalogue_version: u64,
    /// Whether this entry may serve by it.
    pub current: bool,
    /// Whether a planned stop is under way.
    pub stopping: bool,
    /// Assertions that failed.
    pub violations: u64,
}

/// The state machine of an entry instance.
#[derive(Debug)]
pub struct Entry {
    pub(crate) config: Config,
    pub(crate) homes: Homes,
    pub(crate) catalogue: Arc<Catalogue>,
    pub(crate) holding: Holding,
    pub(crate) replicas: BTreeMap<DataCentreId, Replica>,
    pub(crate) peers: Peers,
    pub(crate) endpoints: Endpoints,
    pub(crate) dispatch: Dispatch,
    pub(crate) jobs: SlotMap<JobId, Job>,
    /// Open submissions.
    pub(crate) by_key: HashMap<Key, JobId>,
    /// Open lookups; apart, for they have no tasks that a submission could join.
    pub(crate) lookups: HashMap<Key, JobId>,
    pub(crate) calls: HashMap<CallId, OpenCall>,
    pub(crate) next_call: u64,
    pub(crate) timers: TimerQueue<Timer>,
    pub(crate) decided: BTreeMap<InstanceId, Vec<(Key, Ballot)>>,
    pub(crate) stopping: bool,
    pub(crate) beats: u64,
    pub(crate) renewed: Time,
    pub(crate) borrowed: Time,
    pub(crate) settling: u32,
    pub(crate) attempts: u64,
    pub(crate) violations: u64,
    pub(crate) random: ChaCha8Rng,
    started: Time,
}

impl Entry {
    /// Starts an incarnation at `now`.
    #[must_use]
    pub fn new(config: Config, now: Time) -> Self {
        let homes = Homes::new(&config.instances);
        let me = config.me.instance;
        let replica = |dc| (dc, Replica::new(config.limits, config.wall));
        let replicas = homes.memberships(me).map(replica).collect();
        let others = config.instances.iter().filter(|(id, ..)| *id != me);
        let others = others.map(|(id, dc, _)| (*id, *dc));
        let mut timers = TimerQueue::default();
        timers.subscribe(now, Timer::Housekeeping);
        timers.subscribe(now + DECIDED_EVERY, Timer::Decided);
        Self {
            peers: Peers::new(config.dc, config.detector, others),
            dispatch: Dispatch::new(me, config.policy, config.seed),
            random: ChaCha8Rng::seed_from_u64(config.seed),
            homes,
            replicas,
            timers,
            config,
            catalogue: Arc::new(Catalogue::default()),
            holding: Holding::default(),
            endpoints: Endpoints::default(),
            jobs: SlotMap::with_key(),
            by_key: HashMap::new(),
            lookups: HashMap::new(),
            calls: HashMap::new(),
            next_call: 0,
            decided: BTreeMap::new(),
            stopping: false,
            beats: 0,
            renewed: now,
            borrowed: now,
            settling: 0,
            attempts: 0,
            violations: 0,
            started: now,
        }
    }

    /// Takes an input and appends what the host is to do.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Submit(id, submission) => {
                self.submit(now, Waiter::Caller(id), submission, out);
            }
            Input::Lookup(id, key) => self.lookup(now, Waiter::Caller(id), key, out),
            Input::Cancel(id, keys) => self.cancel(now, id, keys, out),
            Input::PeerMessage(from, msg) => self.peer(now, from, msg, out),
            Input::ConnectionRefused(id) => self.peer_gone(now, id, out),
            Input::Announce(note) => self.announce(now, note, out),
            Input::CallEnded(id, end) => self.call_ended(now, id, end, out),
            Input::InitialCatalogue(catalogue) => self.start_catalogue(catalogue, out),
            Input::CatalogueCommitted(catalogue, leads) => {
                self.committed(now, catalogue, leads, out)
            }
            Input::CatalogueSaved(version) => self.saved(now, version, out),
            Input::Stop => self.stop(out),
            Input::Tick => {}
        }
        self.run_timers(now, out);
        self.pump(now, out);
        self.borrow_slots(now, out);
    }

    /// When the next [`Input::Tick`] is of use at the latest.
    #[must_use]
    pub fn next_due(&self) -> Option<Time> {
        self.timers.next_due()
    }

    /// Figures for status pages and metrics.
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
            current: self.holding.current,
            stopping: self.stopping,
            violations: self.violations,
        }
    }

    /// The other instances, for status pages.
    #[must_use]
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// The endpoints known, for status pages.
    #[must_use]
    pub fn endpoints(&self) -> &Endpoints {
        &self.endpoints
    }

    /// The catalogue in force.
    #[must_use]
    pub fn catalogue(&self) -> &Arc<Catalogue> {
        &self.catalogue
    }

    /// Whether this entry may serve by the catalogue in force.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.holding.current
    }

    /// Whether a planned stop has nothing left to wait for.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.stopping && self.jobs.is_empty() && self.calls.is_empty()
    }

    /// The wall clock, which does not jump while the process lives.
    pub(crate) fn wall(&self, now: Time) -> WallMs {
        let passed = now.since(self.started).as_millis();
        let passed = u64::try_from(passed).unwrap_or(u64::MAX);
        WallMs(self.config.wall.0.saturating_add(passed))
    }

    pub(crate) fn me(&self) -> InstanceId {
        self.config.me.instance
    }

    /// Notes that an assertion failed, or does nothing if it holds.
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

    fn stop(&mut self, out: &mut Vec<Output>) {
        self.stopping = true;
        let open = u32::try_from(self.jobs.len()).unwrap_or(u32::MAX);
        out.push(Output::Event(Event::Stop { open }));
        let peers: Vec<_> = self.peers.iter().map(|(id, _)| id).collect();
        for peer in peers {
            out.push(Output::Send(peer, PeerMsg::Member(MemberMsg::Leave)));
        }
        self.refresh_owners();
        self.tell_decided(out);
    }

    fn run_timers(&mut self, now: Time, out: &mut Vec<Output>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Deadline(id) => self.deadline(now, id, out),
                Timer::Resend(id) => self.resend(now, id, out),
                Timer::Housekeeping => {
                    self.housekeeping(now, out);
                    self.timers
                        .subscribe(now + HOUSEKEEPING, Timer::Housekeeping);
                }
                Timer::Decided => {
                    self.tell_decided(out);
                    self.timers.subscribe(now + DECIDED_EVERY, Timer::Decided);
                }
            }
        }
    }

    fn housekeeping(&mut self, now: Time, out: &mut Vec<Output>) {
        self.watch_members(now, out);
        let wall = self.wall(now);
        for replica in self.replicas.values_mut() {
            replica.expire(wall, EXPIRE_MOST);
        }
        for job in self.dispatch.infeasible_jobs(now) {
            self.give_up(now, job, out);
        }
        self.trade_slots(now, out);
        self.tend_catalogue(now, out);
    }

    /// Answers everyone who waits for a job and forgets it.
    pub(crate) fn conclude(&mut self, id: JobId, outcome: &Outcome, out: &mut Vec<Output>) {
        let Some(job) = self.remove(id) else {
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
            self.tell(
                *waiter,
                &job.key,
                job.digest,
                Reply::Outcome(outcome.clone()),
                out,
            );
        }
    }

    fn check_outcome(&mut self, job: &Job, outcome: &Outcome, out: &mut Vec<Output>) {
        let ours = !job.tasks.is_empty() && !matches!(job.phase, Phase::Relayed(_));
        let detail = || format!("key {}", job.key);
        match outcome {
            Outcome::Answer(results) if !job.bodies.is_empty() => {
                let whole = results.len() == job.bodies.len();
                self.assert(whole, Invariant::WholeAnswer, detail, out);
            }
            Outcome::Refusal(_) if ours => {
                self.assert(!job.started(), Invariant::TrueRefusal, detail, out);
            }
            Outcome::Answer(_) | Outcome::Failure(_) | Outcome::Refusal(_) => {}
        }
    }
}
