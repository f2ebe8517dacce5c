//! The state machine that combines queue, routing, shares, loans and health.

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

/// Largest share of a kind's endpoints that may be quarantined or on probation, as a divisor: a third.
const QUARANTINE_DIVISOR: usize = 3;
/// Share of failed runs of a kind from which on failures are attributed to the kind, not to the endpoint.
const KIND_FAILURE_LIMIT: f64 = 0.5;
/// Weight of a new run in the moving average of a kind's failure rate.
const FAILURE_WEIGHT: f64 = 0.02;
/// Quantile of the run times beyond which a call in flight counts as overdue.
const OVERDUE_QUANTILE: f64 = 0.95;
/// Quantile of the run times that stands for the fastest run to be expected.
const FASTEST_QUANTILE: f64 = 0.01;

new_key_type! {
    /// A known endpoint.
    pub struct EndpointId;

    /// An open job of this entry.
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

/// The properties that all tasks of a job have in common.
#[derive(Clone, Debug)]
pub struct Work {
    /// The kind.
    pub kind: KindName,
    /// Its class.
    pub class: Class,
    /// The team that is charged.
    pub team: Arc<str>,
    /// When the answer is due.
    pub deadline: Time,
}

/// A task to send to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The task.
    pub task: TaskRef,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub addr: SocketAddr,
}

/// How a call to an endpoint ended, for the health of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The endpoint returned a result, after this run time.
    Done(Duration),
    /// The task or the connection failed.
    Failed,
    /// The endpoint refused the task without running it, because it is full or leaving.
    Refused,
    /// This entry cancelled the call.
    Cancelled,
}

#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) announcement: EndpointAnnouncement,
    /// The number of its slots that this entry owns.
    pub(crate) share: u16,
    /// The number of slots lent to other entries.
    pub(crate) lent: u16,
    /// The number of slots borrowed from other entries.
    pub(crate) borrowed: u16,
    /// The number of calls of this entry in flight.
    pub(crate) in_flight: u16,
    pub(crate) health: Health,
    /// The time until which it gets no tasks, because it refused one as full.
    pub(crate) full_until: Time,
    /// Whether its lease has expired or another incarnation has replaced it.
    pub(crate) gone: bool,
    /// When each call in flight was sent.
    pub(crate) sent: Vec<Time>,
}

impl Endpoint {
    /// Returns the number of calls in flight for longer than `after`.
    pub(crate) fn overdue(&self, now: Time, after: Duration) -> usize {
        self.sent
            .iter()
            .filter(|at| now.since(**at) > after)
            .count()
    }

    fn is_usable(&self) -> bool {
        !self.gone && self.announcement.state == EndpointState::Serving
    }

    /// Returns the number of slots that this entry may use: those owned and borrowed, less those lent.
    pub(crate) fn own_slots(&self) -> u16 {
        (self.share + self.borrowed).saturating_sub(self.lent)
    }

    /// Returns the number of tasks that this entry may send to the endpoint now.
    pub(crate) fn free(&self, now: Time) -> u16 {
        if !self.is_usable() || self.full_until > now {
            return 0;
        }
        let own = self.own_slots();
        self.health
            .allowance(now, own)
            .saturating_sub(self.in_flight)
    }
}

/// How long an endpoint gets no tasks after it refused one as full.
const FULL_BACKOFF: Duration = Duration::from_millis(10);

#[derive(Debug)]
pub(crate) struct KindState {
    class: Class,
    estimate: Estimate,
    pub(crate) endpoints: Vec<EndpointId>,
    failure_rate: f64,
}

/// Decides which task starts next, and at which endpoint.
#[derive(Debug)]
pub struct Dispatch {
    instance: InstanceId,
    policy: Policy,
    /// The entries that share the slots of the data centre.
    owners: Vec<InstanceId>,
    pub(crate) endpoints: SlotMap<EndpointId, Endpoint>,
    pub(crate) by_addr: BTreeMap<SocketAddr, EndpointId>,
    pub(crate) kinds: BTreeMap<KindName, KindState>,
    pub(crate) queue: Queue,
    jobs: HashMap<JobId, Work>,
    /// The number of running tasks of this entry, by team.
    running: HashMap<Arc<str>, u32>,
    /// The quota of each team, for all entries together.
    quotas: HashMap<Arc<str>, u32>,
    pub(crate) lent: BTreeMap<u64, Loan>,
    pub(crate) borrowed: Vec<Loan>,
    pub(crate) next_loan: u64,
    /// The position of [`Policy::RoundRobin`].
    next_index: usize,
    random: ChaCha8Rng,
}

impl Dispatch {
    /// Creates a dispatch without endpoints.
    #[must_use]
    pub fn new(instance: InstanceId, policy: Policy, seed: u64) -> Self {
        Self {
            instance,
            policy,
            owners: vec![instance],
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
            next_index: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Applies a catalogue. Queued and running tasks are not affected.
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
                estimate: Estimate::new(kind.run_time),
                endpoints: endpoints_of(endpoints, &kind.name),
                failure_rate: 0.0,
            });
        state.class = kind.class;
    }

    /// Sets the entries that share the data centre's slots; this entry is always one of them.
    pub fn set_owners(&mut self, mut owners: Vec<InstanceId>) {
        if !owners.contains(&self.instance) {
            owners.push(self.instance);
        }
        owners.sort_unstable();
        if owners == self.owners {
            return;
        }
        self.owners = owners;
        for endpoint in self.endpoints.values_mut() {
            endpoint.share = self::share(
                endpoint.announcement.addr,
                endpoint.announcement.slots,
                &self.owners,
                self.instance,
            );
        }
    }

    /// Applies an endpoint's announcement. A new incarnation at an address starts without history, and calls to the
    /// earlier one no longer count.
    pub fn update(&mut self, announcement: &EndpointAnnouncement) {
        if let Some(id) = self.by_addr.get(&announcement.addr).copied() {
            let endpoint = &mut self.endpoints[id];
            if endpoint.announcement.incarnation == announcement.incarnation {
                endpoint.share = share(
                    announcement.addr,
                    announcement.slots,
                    &self.owners,
                    self.instance,
                );
                endpoint.announcement = announcement.clone();
                endpoint.gone = false;
                self.rebuild_index();
                return;
            }
            endpoint.gone = true;
        }
        let id = self.endpoints.insert(Endpoint {
            share: share(
                announcement.addr,
                announcement.slots,
                &self.owners,
                self.instance,
            ),
            announcement: announcement.clone(),
            lent: 0,
            borrowed: 0,
            in_flight: 0,
            health: Health::default(),
            full_until: Time::default(),
            gone: false,
            sent: Vec::new(),
        });
        self.by_addr.insert(announcement.addr, id);
        self.remove_gone();
        self.rebuild_index();
    }

    /// Removes an endpoint whose lease has expired: it gets no new tasks, and its calls in flight continue.
    pub fn remove(&mut self, addr: SocketAddr) {
        if let Some(id) = self.by_addr.remove(&addr) {
            self.endpoints[id].gone = true;
            self.remove_gone();
            self.rebuild_index();
        }
    }

    /// Removes endpoints that are gone and have no call in flight.
    fn remove_gone(&mut self) {
        self.endpoints
            .retain(|_, endpoint| !endpoint.gone || endpoint.in_flight > 0);
    }

    fn rebuild_index(&mut self) {
        for (name, kind) in &mut self.kinds {
            kind.endpoints = endpoints_of(&self.endpoints, name);
        }
    }

    /// Checks whether a job can be done in time, see [`Admission`].
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
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
        // Kinds share the slots, so the tasks of all kinds count.
        let mut in_flight = 0;
        for id in ids {
            let endpoint = &self.endpoints[*id];
            // Lent slots count, because borrowers return them when they are idle. Otherwise an entry that has lent all
            // of its slots would refuse its own callers as if it had a single one.
            let own = endpoint.share + endpoint.borrowed;
            slots += usize::from(endpoint.health.allowance(now, own));
            all_slots += usize::from(endpoint.announcement.slots);
            in_flight += usize::from(endpoint.in_flight);
        }
        // The longest of n runs is expected at the quantile n / (n + 1) of the run times.
        let share = tasks as f64 / (tasks as f64 + 1.0);
        let (mean, longest) = kind.map_or((Duration::ZERO, Duration::ZERO), |kind| {
            (kind.estimate.mean(), kind.estimate.quantile(share))
        });
        Admission {
            endpoints: ids.len(),
            slots,
            all_slots,
            in_flight,
            ahead: self.queue.len_up_to(work.class),
            tasks,
            mean,
            longest,
            remaining: work.deadline.since(now),
        }
    }

    /// Enqueues all tasks of a job.
    pub fn enqueue(&mut self, job: JobId, work: Work, tasks: u32) {
        for index in 0..tasks {
            self.enqueue_task(&work, TaskRef { job, index });
        }
        self.jobs.insert(job, work);
    }

    /// Enqueues a task again that its endpoint refused to run.
    pub fn requeue(&mut self, task: TaskRef) {
        if let Some(work) = self.jobs.get(&task.job).cloned() {
            self.enqueue_task(&work, task);
        }
    }

    fn enqueue_task(&mut self, work: &Work, task: TaskRef) {
        self.queue
            .push(&work.kind, work.class, &work.team, work.deadline, task);
    }

    /// Removes a job and all of its queued tasks.
    pub fn drop_job(&mut self, job: JobId) {
        self.queue.drop_job(job);
        self.jobs.remove(&job);
    }

    /// Returns the next task to start, or `None` if none can start. To be called until it returns `None`.
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
            overdue_after: kind.estimate.quantile(OVERDUE_QUANTILE),
        };
        let endpoints = &self.endpoints;
        let candidates = kind.endpoints.iter().map(|id| Candidate {
            id: *id,
            endpoint: &endpoints[*id],
        });
        let id = choose(
            self.policy,
            &place,
            &mut self.next_index,
            &mut self.random,
            candidates,
        )?;
        self.queue
            .remove(name, &head.lane, head.deadline, head.task);
        *self.running.entry(head.lane.1.clone()).or_default() += 1;
        let endpoint = &mut self.endpoints[id];
        endpoint.in_flight += 1;
        endpoint.sent.push(now);
        let addr = endpoint.announcement.addr;
        self.touch_loans(now, addr);
        Some(Start {
            task: head.task,
            endpoint: id,
            addr,
        })
    }

    fn touch_loans(&mut self, now: Time, addr: SocketAddr) {
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

    /// Records the end of a call.
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
            state.failure_rate =
                state.failure_rate * (1.0 - FAILURE_WEIGHT) + failed * FAILURE_WEIGHT;
        }
        let may_quarantine = self.is_endpoint_fault(kind);
        let state = self.kinds.get_mut(kind)?;
        let endpoint = self.endpoints.get_mut(id)?;
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        if let Some(position) = endpoint.sent.iter().position(|at| *at == sent) {
            endpoint.sent.swap_remove(position);
        }
        let change = match end {
            CallEnd::Done(run) => {
                let median = state.estimate.quantile(0.5).max(Duration::from_micros(100));
                state.estimate.record(now, run);
                let ratio = run.as_secs_f64() / median.as_secs_f64();
                endpoint.health.record_success(now, ratio)
            }
            CallEnd::Failed => endpoint.health.record_failure(now, may_quarantine),
            CallEnd::Refused => {
                endpoint.full_until = now + FULL_BACKOFF;
                None
            }
            CallEnd::Cancelled => {
                // A call that was cancelled because it took too long never reports its run time. If it did not
                // count, a slow endpoint would get tasks again and again before it is recognised as slow.
                let ran = now.since(sent);
                if ran > state.estimate.quantile(OVERDUE_QUANTILE) {
                    let median = state.estimate.quantile(0.5).max(Duration::from_micros(100));
                    endpoint
                        .health
                        .record_slowness(now, ran.as_secs_f64() / median.as_secs_f64());
                }
                None
            }
        };
        if endpoint.gone && endpoint.in_flight == 0 {
            self.endpoints.remove(id);
            self.rebuild_index();
        }
        change
    }

    /// Whether a failure is attributed to the endpoint rather than to the kind.
    fn is_endpoint_fault(&self, kind: &str) -> bool {
        let Some(state) = self.kinds.get(kind) else {
            return false;
        };
        let quarantined = state.endpoints.iter();
        let quarantined = quarantined.filter(|id| self.endpoints[**id].health.is_suspended());
        let may_quarantine = quarantined.count() * QUARANTINE_DIVISOR < state.endpoints.len();
        may_quarantine && state.failure_rate < KIND_FAILURE_LIMIT
    }

    /// Returns the jobs with queued tasks that would end after the deadline even in the fastest run.
    #[must_use]
    pub fn infeasible_jobs(&self, now: Time) -> Vec<JobId> {
        self.queue.infeasible_jobs(|kind| {
            let fastest = self
                .kinds
                .get(kind)
                .map_or(Duration::ZERO, |k| k.estimate.quantile(FASTEST_QUANTILE));
            now + fastest
        })
    }

    /// Returns the number of tasks that wait for a slot.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the kinds with waiting tasks and the number of those, to borrow slots for them.
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

    /// Returns the number of serving endpoints, and how many of them are quarantined or on probation.
    #[must_use]
    pub fn endpoint_counts(&self) -> (usize, usize) {
        let serving = self.endpoints.values().filter(|e| e.is_usable());
        let suspended = serving.clone().filter(|e| e.health.is_suspended());
        (serving.count(), suspended.count())
    }

    /// Returns the announcement of an endpoint, as long as it has calls in flight or a lease.
    #[must_use]
    pub fn announcement(&self, id: EndpointId) -> Option<&EndpointAnnouncement> {
        self.endpoints
            .get(id)
            .map(|endpoint| &endpoint.announcement)
    }
}

fn endpoints_of(endpoints: &SlotMap<EndpointId, Endpoint>, kind: &str) -> Vec<EndpointId> {
    let usable = endpoints
        .iter()
        .filter(|(_, endpoint)| endpoint.is_usable());
    usable
        .filter(|(_, endpoint)| endpoint.announcement.kinds.iter().any(|k| &**k == kind))
        .map(|(id, _)| id)
        .collect()
}
