//! The state machine that ties queue, routing, shares, loans and health together.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use celerywinch_catalogue::{Catalogue, Class, Kind};
use celerywinch_types::{EndpointAnnouncement, EndpointState, InstanceId, KindName, Refusal, Time};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::{SlotMap, new_key_type};

use crate::loans::Loan;
use crate::queue::{Head, Queue};
use crate::routing::{Candidate, Placement, choose};
use crate::{Admission, Estimate, Health, HealthChange, Policy, share};

/// The most of a kind's endpoints that may be set aside, as a divisor: a third.
const MOST_ASIDE: usize = 3;
/// The share of a kind's runs that may fail before the kind itself is blamed.
const KIND_FAILING: f64 = 0.5;
/// Weight of a new run in the share of failures of a kind.
const FAILING_WEIGHT: f64 = 0.02;
/// The share of run times beyond which a call that is under way counts as overdue.
const LONG: f64 = 0.95;
/// The share of run times below which a task is not expected to end.
const FASTEST: f64 = 0.01;

new_key_type! {
    /// An endpoint, as long as it is known.
    pub struct EndpointId;

    /// A job of this entry, as long as it is open.
    pub struct JobId;
}

/// One task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskRef {
    /// The job.
    pub job: JobId,
    /// The index of the task in it.
    pub index: u32,
}

/// What is the same for all tasks of a job.
#[derive(Clone, Debug)]
pub struct Work {
    /// The kind.
    pub kind: KindName,
    /// Its class.
    pub class: Class,
    /// Who is charged.
    pub team: Arc<str>,
    /// When the answer is due.
    pub deadline: Time,
}

/// A task to be sent to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The task.
    pub task: TaskRef,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub addr: SocketAddr,
}

/// How a call to an endpoint ended, as far as its health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// A result, after this run time.
    Done(Duration),
    /// The task or the connection failed.
    Failed,
    /// The endpoint said that it did not run the task: it is full or leaving.
    Refused,
    /// The call was cancelled here.
    Cancelled,
}

#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) note: EndpointAnnouncement,
    pub(crate) share: u16,
    pub(crate) lent: u16,
    pub(crate) borrowed: u16,
    pub(crate) in_flight: u16,
    pub(crate) health: Health,
    /// Refused a task as full: no further ones until then.
    pub(crate) full_until: Time,
    pub(crate) gone: bool,
    /// When each call under way was sent.
    pub(crate) sent: Vec<Time>,
}

impl Endpoint {
    /// Calls under way for longer than `long`.
    pub(crate) fn overdue(&self, now: Time, long: Duration) -> usize {
        self.sent.iter().filter(|at| now.since(**at) > long).count()
    }

    fn usable(&self) -> bool {
        !self.gone && self.note.state == EndpointState::Serving
    }

    pub(crate) fn own(&self) -> u16 {
        (self.share + self.borrowed).saturating_sub(self.lent)
    }

    pub(crate) fn free(&self, now: Time) -> u16 {
        if !self.usable() || self.full_until > now {
            return 0;
        }
        let own = self.own();
        self.health
            .allowance(now, own)
            .saturating_sub(self.in_flight)
    }
}

/// An endpoint that said it is full is left alone this long.
const FULL_PAUSE: Duration = Duration::from_millis(10);

#[derive(Debug)]
pub(crate) struct KindState {
    class: Class,
    estimate: Estimate,
    pub(crate) endpoints: Vec<EndpointId>,
    failing: f64,
}

/// Decides what starts next and where.
#[derive(Debug)]
pub struct Dispatch {
    me: InstanceId,
    policy: Policy,
    owners: Vec<InstanceId>,
    pub(crate) endpoints: SlotMap<EndpointId, Endpoint>,
    pub(crate) by_addr: BTreeMap<SocketAddr, EndpointId>,
    pub(crate) kinds: BTreeMap<KindName, KindState>,
    pub(crate) queue: Queue,
    jobs: HashMap<JobId, Work>,
    running: HashMap<Arc<str>, u32>,
    quotas: HashMap<Arc<str>, u32>,
    pub(crate) lent: BTreeMap<u64, Loan>,
    pub(crate) borrowed: Vec<Loan>,
    pub(crate) next_loan: u64,
    turn: usize,
    random: ChaCha8Rng,
}

impl Dispatch {
    /// Starts without endpoints.
    #[must_use]
    pub fn new(me: InstanceId, policy: Policy, seed: u64) -> Self {
        Self {
            me,
            policy,
            owners: vec![me],
            endpoints: SlotMap::with_key(),
            by_addr: BTreeMap::new(),
            kinds: BTreeMap::new(),
            queue: Queue::default(),
            jobs: HashMap::new(),
            running: HashMap::new(),
            quotas: HashMap::new(),
            lent: BTreeMap::new(),
            borrowed: Vec::new(),
            next_loan: 1,
            turn: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes over a catalogue; what is queued or running stays.
    pub fn set_catalogue(&mut self, catalogue: &Catalogue) {
        for kind in catalogue.kinds() {
            self.kind_state(kind);
        }
        let document = catalogue.document();
        let teams = document.teams.iter();
        self.quotas = teams
            .map(|(name, team)| (Arc::from(name.as_str()), team.quota))
            .collect();
    }

    fn kind_state(&mut self, kind: &Kind) {
        let endpoints = &self.endpoints;
        let state = self
            .kinds
            .entry(kind.name.clone())
            .or_insert_with(|| KindState {
                class: kind.class,
                estimate: Estimate::new(kind.run),
                endpoints: serving(endpoints, &kind.name),
                failing: 0.0,
            });
        state.class = kind.class;
    }

    /// Takes over which entries share the data centre's slots; this one is always among them.
    pub fn set_owners(&mut self, mut owners: Vec<InstanceId>) {
        if !owners.contains(&self.me) {
            owners.push(self.me);
        }
        owners.sort_unstable();
        if owners == self.owners {
            return;
        }
        self.owners = owners;
        for endpoint in self.endpoints.values_mut() {
            endpoint.share = self::share(
                endpoint.note.addr,
                endpoint.note.slots,
                &self.owners,
                self.me,
            );
        }
    }

    /// Takes over an announcement. A new life of an address starts with a clean record, and its
    /// earlier life's calls no longer count.
    pub fn update(&mut self, note: &EndpointAnnouncement) {
        if let Some(id) = self.by_addr.get(&note.addr).copied() {
            let endpoint = &mut self.endpoints[id];
            if endpoint.note.incarnation == note.incarnation {
                endpoint.share = share(note.addr, note.slots, &self.owners, self.me);
                endpoint.note = note.clone();
                endpoint.gone = false;
                self.index();
                return;
            }
            endpoint.gone = true;
        }
        let id = self.endpoints.insert(Endpoint {
            share: share(note.addr, note.slots, &self.owners, self.me),
            note: note.clone(),
            lent: 0,
            borrowed: 0,
            in_flight: 0,
            health: Health::default(),
            full_until: Time::default(),
            gone: false,
            sent: Vec::new(),
        });
        self.by_addr.insert(note.addr, id);
        self.sweep();
        self.index();
    }

    /// The endpoint's lease ran out: no new work.
    pub fn remove(&mut self, addr: SocketAddr) {
        if let Some(id) = self.by_addr.remove(&addr) {
            self.endpoints[id].gone = true;
            self.sweep();
            self.index();
        }
    }

    /// Drops endpoints that are gone and have no call left.
    fn sweep(&mut self) {
        self.endpoints
            .retain(|_, endpoint| !endpoint.gone || endpoint.in_flight > 0);
    }

    fn index(&mut self) {
        for (name, kind) in &mut self.kinds {
            kind.endpoints = serving(&self.endpoints, name);
        }
    }

    /// Whether the job can be done in time, see [`Admission`].
    ///
    /// # Errors
    ///
    /// The refusal to give.
    pub fn admit(&self, now: Time, work: &Work, tasks: usize) -> Result<(), Refusal> {
        if self.policy != Policy::Shares {
            return Ok(());
        }
        self.admission(now, work, tasks).decide()
    }

    fn admission(&self, now: Time, work: &Work, tasks: usize) -> Admission {
        let kind = self.kinds.get(&work.kind);
        let ids = kind.map_or(&[][..], |k| &k.endpoints);
        let mut slots = 0;
        let mut all_slots = 0;
        // Kinds share the slots, so the tasks of all of them count.
        let mut in_flight = 0;
        for id in ids {
            let endpoint = &self.endpoints[*id];
            // Lent slots come back when the borrower has no more use for them. If they did not count,
            // an entry that has lent all would refuse its own callers as if it had a single slot.
            let own = endpoint.share + endpoint.borrowed;
            slots += usize::from(endpoint.health.allowance(now, own));
            all_slots += usize::from(endpoint.note.slots);
            in_flight += usize::from(endpoint.in_flight);
        }
        // The longest of n runs lies about where n in n + 1 of all runs end before.
        let share = tasks as f64 / (tasks as f64 + 1.0);
        let (mean, longest) = kind.map_or((Duration::ZERO, Duration::ZERO), |kind| {
            (kind.estimate.mean(), kind.estimate.quantile(share))
        });
        Admission {
            endpoints: ids.len(),
            slots,
            all_slots,
            in_flight,
            ahead: self.queue.ahead(work.class),
            tasks,
            mean,
            longest,
            remaining: work.deadline.since(now),
        }
    }

    /// Queues all tasks of a job.
    pub fn enqueue(&mut self, job: JobId, work: Work, tasks: u32) {
        for index in 0..tasks {
            self.enqueue_task(&work, TaskRef { job, index });
        }
        self.jobs.insert(job, work);
    }

    /// Queues a task again that its endpoint refused to run.
    pub fn requeue(&mut self, task: TaskRef) {
        if let Some(work) = self.jobs.get(&task.job).cloned() {
            self.enqueue_task(&work, task);
        }
    }

    fn enqueue_task(&mut self, work: &Work, task: TaskRef) {
        self.queue
            .push(&work.kind, work.class, &work.team, work.deadline, task);
    }

    /// Takes all waiting tasks of a job out of the queue and forgets the job.
    pub fn drop_job(&mut self, job: JobId) {
        self.queue.drop_job(job);
        self.jobs.remove(&job);
    }

    /// The next task to start, if any can; call until `None`.
    pub fn next_start(&mut self, now: Time) -> Option<Start> {
        let mut heads: Vec<(KindName, Head)> = Vec::new();
        for kind in self.queue.waiting_kinds() {
            let head = self.queue.head(&kind, |team| self.over_quota(team));
            heads.extend(head.map(|head| (kind, head)));
        }
        heads.sort_by_key(|(_, head)| (head.lane.0, head.deadline));
        heads
            .into_iter()
            .find_map(|(kind, head)| self.place(now, &kind, &head))
    }

    fn place(&mut self, now: Time, name: &KindName, head: &Head) -> Option<Start> {
        let kind = self.kinds.get_mut(name)?;
        let place = Placement {
            now,
            remaining: head.deadline.since(now),
            median: kind.estimate.quantile(0.5),
            long: kind.estimate.quantile(LONG),
        };
        let endpoints = &self.endpoints;
        let candidates = kind.endpoints.iter().map(|id| Candidate {
            id: *id,
            endpoint: &endpoints[*id],
        });
        let id = choose(
            self.policy,
            &place,
            &mut self.turn,
            &mut self.random,
            candidates,
        )?;
        self.queue
            .remove(name, &head.lane, head.deadline, head.task);
        *self.running.entry(head.lane.1.clone()).or_default() += 1;
        let endpoint = &mut self.endpoints[id];
        endpoint.in_flight += 1;
        endpoint.sent.push(now);
        let addr = endpoint.note.addr;
        self.mark_used(now, addr);
        Some(Start {
            task: head.task,
            endpoint: id,
            addr,
        })
    }

    fn mark_used(&mut self, now: Time, addr: SocketAddr) {
        let loans = self.borrowed.iter_mut();
        for loan in loans.filter(|loan| loan.slots.iter().any(|(a, _)| *a == addr)) {
            loan.used = now;
        }
    }

    fn over_quota(&self, team: &str) -> bool {
        let Some(quota) = self.quotas.get(team) else {
            return true;
        };
        let owners = u32::try_from(self.owners.len()).unwrap_or(1);
        let running = self.running.get(team).copied().unwrap_or(0);
        running >= quota.div_ceil(owners)
    }

    /// Takes the end of a call.
    pub fn finish(
        &mut self,
        now: Time,
        id: EndpointId,
        sent: Time,
        work: (&KindName, &Arc<str>),
        end: CallEnd,
    ) -> Option<HealthChange> {
        let (kind, team) = work;
        if let Some(running) = self.running.get_mut(team) {
            *running = running.saturating_sub(1);
        }
        let state = self.kinds.get_mut(kind)?;
        let failed = f64::from(u8::from(end == CallEnd::Failed));
        if matches!(end, CallEnd::Done(_) | CallEnd::Failed) {
            state.failing = state.failing * (1.0 - FAILING_WEIGHT) + failed * FAILING_WEIGHT;
        }
        let blame = self.blames(kind);
        let state = self.kinds.get_mut(kind)?;
        let endpoint = self.endpoints.get_mut(id)?;
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        if let Some(place) = endpoint.sent.iter().position(|at| *at == sent) {
            endpoint.sent.swap_remove(place);
        }
        let change = match end {
            CallEnd::Done(run) => {
                let median = state.estimate.quantile(0.5).max(Duration::from_micros(100));
                state.estimate.record(now, run);
                let ratio = run.as_secs_f64() / median.as_secs_f64();
                endpoint.health.success(now, ratio)
            }
            CallEnd::Failed => endpoint.health.failure(now, blame),
            CallEnd::Refused => {
                endpoint.full_until = now + FULL_PAUSE;
                None
            }
            CallEnd::Cancelled => {
                // A call that was given up because it took too long never tells its run time; if it
                // did not count, a slow endpoint would be found out again and again.
                let ran = now.since(sent);
                if ran > state.estimate.quantile(LONG) {
                    let median = state.estimate.quantile(0.5).max(Duration::from_micros(100));
                    endpoint
                        .health
                        .slow(now, ran.as_secs_f64() / median.as_secs_f64());
                }
                None
            }
        };
        if endpoint.gone && endpoint.in_flight == 0 {
            self.endpoints.remove(id);
            self.index();
        }
        change
    }

    /// Whether a failure is put down to the endpoint rather than to the kind.
    fn blames(&self, kind: &str) -> bool {
        let Some(state) = self.kinds.get(kind) else {
            return false;
        };
        let aside = state.endpoints.iter();
        let aside = aside.filter(|id| self.endpoints[**id].health.suspended());
        let room = aside.count() * MOST_ASIDE < state.endpoints.len();
        room && state.failing < KIND_FAILING
    }

    /// Jobs that wait although even the fastest run would end too late.
    #[must_use]
    pub fn infeasible_jobs(&self, now: Time) -> Vec<JobId> {
        self.queue.infeasible_jobs(|kind| {
            let fastest = self
                .kinds
                .get(kind)
                .map_or(Duration::ZERO, |k| k.estimate.quantile(FASTEST));
            now + fastest
        })
    }

    /// Tasks that wait for a slot.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Kinds whose tasks wait, with how many, to borrow slots for.
    #[must_use]
    pub fn slot_demand(&self) -> Vec<(KindName, usize)> {
        let kinds = self.queue.waiting_kinds();
        kinds
            .into_iter()
            .map(|kind| {
                let len = self.queue.kind_len(&kind);
                (kind, len)
            })
            .collect()
    }

    /// Endpoints known, and how many of them are set aside or on probation.
    #[must_use]
    pub fn endpoint_counts(&self) -> (usize, usize) {
        let known = self.endpoints.values().filter(|e| e.usable());
        let suspended = known.clone().filter(|e| e.health.suspended());
        (known.count(), suspended.count())
    }

    /// The announcement behind an endpoint, while it has calls or a lease.
    #[must_use]
    pub fn announcement(&self, id: EndpointId) -> Option<&EndpointAnnouncement> {
        self.endpoints.get(id).map(|endpoint| &endpoint.note)
    }
}

fn serving(endpoints: &SlotMap<EndpointId, Endpoint>, kind: &str) -> Vec<EndpointId> {
    let usable = endpoints.iter().filter(|(_, endpoint)| endpoint.usable());
    usable
        .filter(|(_, endpoint)| endpoint.note.kinds.iter().any(|k| &**k == kind))
        .map(|(id, _)| id)
        .collect()
}
