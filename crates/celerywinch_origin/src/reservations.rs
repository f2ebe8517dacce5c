//! Reservations for tasks that found no free capacity.
//!
//! The tasks stay pending here, and several dispatchers have a reservation for them. They are submitted to the first
//! dispatchers that offer capacity; the other reservations are released then.

use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_types::{
    DeclineReason, Declined, InstanceId, JobEnd, JobId, Mechanism, Offer, Reservation,
    ReservationNumber, ReservedStep, Time, WorkMsg, score,
};

use crate::JobEvent;
use crate::choice::{Choice, PLACES_PER_TASK, Request, reservation_targets};
use crate::job::{Job, Task, TaskState};
use crate::origin::{Origin, Output};

/// Time without an offer after which reservations are sent again, as they may be lost: longer than most tasks run, and
/// shorter than callers wait.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);

/// Number of a dispatcher's offers that a job could not use, after which it is not reserved there any more. One may have
/// been overtaken by the loss of the worker.
const MAX_MISSED_OFFERS: usize = 2;

/// How long an offer may be on its way when its reservation is released. The release frees what it holds, so it needs no
/// other answer.
const CROSSING_TIME: Duration = Duration::from_millis(40);

/// The releases that offers on their way may cross, and those that are not sent yet.
#[derive(Debug, Default)]
pub(crate) struct Releases {
    recent: BTreeMap<(InstanceId, JobId, u16), Time>,
    unsent: BTreeMap<InstanceId, Vec<ReservedStep>>,
}

impl Releases {
    fn add(&mut self, now: Time, dispatcher: InstanceId, step: ReservedStep) {
        self.recent.insert((dispatcher, step.job, step.step), now);
        self.unsent.entry(dispatcher).or_default().push(step);
    }

    fn answers(&self, now: Time, dispatcher: InstanceId, offered: ReservedStep) -> bool {
        let key = (dispatcher, offered.job, offered.step);
        let released = self.recent.get(&key);
        released.is_some_and(|at| now.since(*at) < CROSSING_TIME)
    }

    fn expire(&mut self, now: Time) {
        self.recent.retain(|_, at| now.since(*at) < CROSSING_TIME);
    }
}

/// A reservation at a dispatcher.
#[derive(Clone, Copy, Debug)]
struct Place {
    number: ReservationNumber,
    /// The number of tasks for which the dispatcher may still offer capacity.
    tasks: u16,
    /// Whether the dispatcher may not have it any more.
    doubtful: bool,
}

/// The reservations of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepReservations {
    places: BTreeMap<InstanceId, Place>,
    /// Retry delays, in ms, of the dispatchers at which the job cannot end in time.
    declined: BTreeMap<InstanceId, u32>,
    /// When they were last sent, or capacity was last offered.
    renewed_at: Time,
}

impl StepReservations {
    fn doubt(&mut self, dispatcher: InstanceId) -> bool {
        let place = self.places.get_mut(&dispatcher);
        place.map(|place| place.doubtful = true).is_some()
    }
}

impl Job {
    /// Returns the dispatchers that have reservations of the job.
    pub(crate) fn reserved_at(&self) -> impl Iterator<Item = InstanceId> + '_ {
        let steps = self.reservations.values();
        steps.flat_map(|step| step.places.keys().copied())
    }

    fn pending_tasks(&self, step: u16) -> impl Iterator<Item = &Task> {
        let tasks = self.tasks.range((step, 0)..=(step, u16::MAX));
        tasks
            .map(|(_, task)| task)
            .filter(|task| task.state == TaskState::Pending)
    }

    /// Whether a dispatcher has offered capacity several times that could not be used. It would go on to do so at once.
    fn distrusts_offers_of(&self, dispatcher: InstanceId) -> bool {
        let missed = self.missed_offers.get(&dispatcher);
        missed.is_some_and(|missed| missed.len() >= MAX_MISSED_OFFERS)
    }

    /// Whether a dispatcher may hold capacity for tasks of a step without knowing them. It has to keep a task that may have
    /// crashed a worker away from others of that kind.
    pub(crate) fn may_reserve(&self, step: u16) -> bool {
        !self
            .pending_tasks(step)
            .any(|task| task.crashes.is_suspect())
    }
}

/// What becomes of the pending tasks of a step with regard to its reservations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outlook {
    /// There are none; a dispatcher is to be chosen.
    Unreserved,
    /// They wait for offers.
    Waiting,
    /// All dispatchers have declined; worth another try after this many ms.
    Declined(u32),
}

impl Origin {
    /// Whether tasks without capacity wait here for the first dispatcher that has some.
    pub(crate) fn binds_late(&self) -> bool {
        let disabled = |mechanism| self.disabled.contains(mechanism);
        !disabled(Mechanism::LateBinding) && !disabled(Mechanism::Passing)
    }

    /// Returns what becomes of the pending tasks of a step, and sends its doubtful reservations again.
    pub(crate) fn outlook(
        &mut self,
        now: Time,
        id: JobId,
        step: u16,
        out: &mut Vec<Output>,
    ) -> Outlook {
        self.release_distrusted(now, id, step);
        let Some(job) = self.jobs.get_mut(&id) else {
            return Outlook::Unreserved;
        };
        let started = job.may_have_started();
        let pending = pending_count(job, step);
        let Some(reserved) = job.reservations.get_mut(&step) else {
            return Outlook::Unreserved;
        };
        if reserved.places.is_empty() {
            let shortest = reserved.declined.values().min().copied();
            job.reservations.remove(&step);
            // A job that may have started is not refused; the dispatchers keep its reservations from now on.
            return shortest
                .filter(|_| !started)
                .map_or(Outlook::Unreserved, Outlook::Declined);
        }
        // Dispatchers that had the other places have declined or are lost.
        let reserved_tasks: u16 = reserved.places.values().map(|place| place.tasks).sum();
        let too_few = reserved_tasks < pending;
        let places = reserved.places.iter();
        let doubtful = places.filter(|(_, place)| place.doubtful || too_few);
        let doubtful: Vec<_> = doubtful.map(|(dispatcher, _)| *dispatcher).collect();
        self.send_reservations(now, id, step, &doubtful, out);
        Outlook::Waiting
    }

    /// Releases the reservations of a step at dispatchers whose offers it could not use.
    fn release_distrusted(&mut self, now: Time, id: JobId, step: u16) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let places = job.reservations.get(&step).map(|step| step.places.keys());
        let distrusted = places.into_iter().flatten().copied();
        let distrusted = distrusted.filter(|dispatcher| job.distrusts_offers_of(*dispatcher));
        for dispatcher in distrusted.collect::<Vec<_>>() {
            self.release(now, dispatcher, id, step);
            let job = self.jobs.get_mut(&id);
            if let Some(step) = job.and_then(|job| job.reservations.get_mut(&step)) {
                step.places.remove(&dispatcher);
            }
        }
    }

    /// Reserves a step at several dispatchers. Those that have its reservation get it again.
    pub(crate) fn reserve_step(&mut self, now: Time, id: JobId, step: u16, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let mut targets = self.targets(job, step);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let reserved = job.reservations.entry(step).or_default();
        reserved.renewed_at = now;
        targets.retain(|dispatcher| !reserved.declined.contains_key(dispatcher));
        targets.extend(reserved.places.keys());
        targets.sort();
        targets.dedup();
        let tasks = job.pending_tasks(step).count();
        if targets.is_empty() {
            self.pending.insert(id);
            return;
        }
        out.push(Output::Event(JobEvent::Reserved {
            job: id,
            dispatchers: targets.len(),
            tasks,
        }));
        self.send_reservations(now, id, step, &targets, out);
    }

    /// Returns the dispatchers at which a step may be reserved.
    pub(crate) fn targets(&self, job: &Job, step: u16) -> Vec<InstanceId> {
        let request = Request {
            tasks: pending_count(job, step).into(),
            ..Request::new(self.dc, job, step)
        };
        let holders = self.holders.iter().copied();
        let holders = holders.filter(|holder| !job.distrusts_offers_of(holder.instance));
        reservation_targets(&holders.collect::<Vec<_>>(), &request)
    }

    fn send_reservations(
        &mut self,
        now: Time,
        id: JobId,
        step: u16,
        dispatchers: &[InstanceId],
        out: &mut Vec<Output>,
    ) {
        for dispatcher in dispatchers {
            let session = self.session(*dispatcher);
            let Some(job) = self.jobs.get_mut(&id) else {
                return;
            };
            self.last_reservation = ReservationNumber(self.last_reservation.0 + 1);
            let number = self.last_reservation;
            self.releases.recent.remove(&(*dispatcher, id, step));
            let mut order = job.order(now, step, Vec::new());
            order.spec.clear();
            order.session = session;
            order.refusable = !job.may_have_started();
            let pending = pending_count(job, step);
            let reserved = job.reservations.entry(step).or_default();
            let all = reserved.places.len().max(dispatchers.len());
            let tasks = tasks_of_place(pending, all);
            let place = Place {
                number,
                tasks,
                doubtful: false,
            };
            reserved.places.insert(*dispatcher, place);
            let places = usize::from(tasks) * all;
            let copies = places.div_ceil(usize::from(pending.max(1)));
            let reservation = Reservation {
                order,
                number,
                tasks,
                copies: u16::try_from(copies).unwrap_or(u16::MAX),
            };
            out.push(Output::Send(*dispatcher, WorkMsg::Reserve(reservation)));
        }
    }

    /// Submits pending tasks to a dispatcher that holds capacity for them. Capacity that is not needed is given back.
    pub(crate) fn handle_offers(
        &mut self,
        now: Time,
        from: InstanceId,
        offers: &[Offer],
        out: &mut Vec<Output>,
    ) {
        for offer in offers {
            let ReservedStep { job, step, .. } = offer.step;
            let taken = self.take_offer(now, from, offer, out);
            if !taken && !self.releases.answers(now, from, offer.step) {
                self.release(now, from, job, step);
            }
        }
    }

    fn take_offer(
        &mut self,
        now: Time,
        from: InstanceId,
        offer: &Offer,
        out: &mut Vec<Output>,
    ) -> bool {
        let ReservedStep { job: id, step, .. } = offer.step;
        let holder = self.holders.iter().find(|holder| holder.instance == from);
        let Some(holder) = holder.copied() else {
            return false;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        let pending = pending_count(job, step);
        let taken = pending.min(offer.tasks);
        let Some(reserved) = job.reservations.get_mut(&step) else {
            return false;
        };
        let Some(place) = reserved.places.get_mut(&from).filter(|_| taken > 0) else {
            return false;
        };
        reserved.renewed_at = now;
        place.tasks = place.tasks.saturating_sub(taken);
        if place.tasks == 0 {
            reserved.places.remove(&from);
        }
        if reserved.places.is_empty() {
            self.pending.insert(id);
        }
        let choice = Choice {
            holder,
            no_wait: true,
            most: taken.into(),
        };
        let is_pending = |state: &TaskState| *state == TaskState::Pending;
        self.send_tasks(now, id, step, choice, is_pending, out);
        if taken == pending {
            self.release_step(now, id, step, out);
        }
        true
    }

    /// Handles reservations that a dispatcher does not keep.
    pub(crate) fn handle_declined(
        &mut self,
        from: InstanceId,
        declined: &[Declined],
        out: &mut Vec<Output>,
    ) {
        for Declined { step, reason } in declined {
            let Some(job) = self.jobs.get_mut(&step.job) else {
                continue;
            };
            let Some(reserved) = job.reservations.get_mut(&step.step) else {
                continue;
            };
            let place = reserved.places.get(&from);
            if place.is_none_or(|place| place.number != step.number) {
                continue;
            }
            reserved.places.remove(&from);
            self.pending.insert(step.job);
            out.push(Output::Event(JobEvent::Declined {
                job: step.job,
                dispatcher: from,
                reason: *reason,
            }));
            match reason {
                DeclineReason::Late(retry_ms) => {
                    reserved.declined.insert(from, *retry_ms);
                }
                DeclineReason::Unplaced => {
                    job.unplaced.insert((step.step, from));
                }
                DeclineReason::NotOwner => self.await_holder(step.job, from),
            }
        }
    }

    /// Refuses a job that all dispatchers have declined. Its caller is asked to return after the shortest of their waits, and
    /// up to half of that later: callers that were refused together would otherwise return together.
    pub(crate) fn refuse_declined(
        &mut self,
        now: Time,
        id: JobId,
        shortest: u32,
        out: &mut Vec<Output>,
    ) {
        let spread = u64::from(shortest / 2 + 1);
        let extra = score(id.0, spread) % spread;
        let retry_ms = shortest.saturating_add(u32::try_from(extra).unwrap_or_default());
        self.answer(now, id, JobEnd::Refused(retry_ms), out);
    }

    /// Releases the reservations of a step.
    pub(crate) fn release_step(&mut self, now: Time, id: JobId, step: u16, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(reserved) = job.reservations.remove(&step) else {
            return;
        };
        self.release_places(now, id, step, &reserved, out);
    }

    /// Releases all reservations of a job that has ended.
    pub(crate) fn release_job(&mut self, now: Time, job: &Job, out: &mut Vec<Output>) {
        for (step, reserved) in &job.reservations {
            self.release_places(now, job.id, *step, reserved, out);
        }
    }

    fn release_places(
        &mut self,
        now: Time,
        id: JobId,
        step: u16,
        reserved: &StepReservations,
        out: &mut Vec<Output>,
    ) {
        if reserved.places.is_empty() {
            return;
        }
        for dispatcher in reserved.places.keys() {
            self.release(now, *dispatcher, id, step);
        }
        out.push(Output::Event(JobEvent::Released {
            job: id,
            dispatchers: reserved.places.len(),
        }));
    }

    fn release(&mut self, now: Time, dispatcher: InstanceId, job: JobId, step: u16) {
        let released = ReservedStep {
            job,
            step,
            number: self.last_reservation,
        };
        self.releases.add(now, dispatcher, released);
    }

    pub(crate) fn send_releases(&mut self, out: &mut Vec<Output>) {
        for (dispatcher, steps) in std::mem::take(&mut self.releases.unsent) {
            out.push(Output::Send(dispatcher, WorkMsg::Release(steps)));
        }
    }

    /// Sends the reservations at a dispatcher again after the current input, as it may not have them any more.
    pub(crate) fn doubt_reservations(&mut self, dispatcher: InstanceId) {
        for job in self.jobs.values_mut() {
            for reserved in job.reservations.values_mut() {
                if reserved.doubt(dispatcher) {
                    self.pending.insert(job.id);
                }
            }
        }
    }

    /// Handles the return of a task that was submitted under a reservation, but found no capacity: it is reserved again.
    pub(crate) fn doubt_reservation(&mut self, id: JobId, step: u16, dispatcher: InstanceId) {
        let job = self.jobs.get_mut(&id);
        if let Some(reserved) = job.and_then(|job| job.reservations.get_mut(&step)) {
            reserved.doubt(dispatcher);
        }
    }

    /// Forgets the reservations at dispatchers that are lost or own no domain any more.
    pub(crate) fn forget_reservations(&mut self, is_gone: impl Fn(InstanceId) -> bool) {
        for job in self.jobs.values_mut() {
            for reserved in job.reservations.values_mut() {
                let before = reserved.places.len();
                reserved
                    .places
                    .retain(|dispatcher, _| !is_gone(*dispatcher));
                if reserved.places.len() < before {
                    self.pending.insert(job.id);
                }
            }
        }
    }

    /// Forgets which dispatchers had no room once a step is done: they may have room for the next one.
    pub(crate) fn forget_full(&mut self, id: JobId, step: u16) {
        let binds_late = self.binds_late();
        if let Some(job) = self.jobs.get_mut(&id)
            && binds_late
            && job.is_step_done(step)
        {
            job.full.clear();
        }
    }

    /// Sends the reservations again for which nothing was offered for [`RENEW_INTERVAL`].
    pub(crate) fn renew_reservations(&mut self, now: Time, out: &mut Vec<Output>) {
        self.releases.expire(now);
        let mut due = Vec::new();
        for job in self.jobs.values() {
            let steps = job.reservations.iter();
            let steps = steps.filter(|(_, step)| now.since(step.renewed_at) >= RENEW_INTERVAL);
            due.extend(steps.map(|(step, _)| (job.id, *step)));
        }
        for (job, step) in due {
            self.reserve_step(now, job, step, out);
        }
    }
}

/// Returns the number of tasks that each of the dispatchers with a place for `pending` tasks reserves.
fn tasks_of_place(pending: u16, dispatchers: usize) -> u16 {
    let places = PLACES_PER_TASK * usize::from(pending);
    let each = places.div_ceil(dispatchers.max(1));
    u16::try_from(each).unwrap_or(u16::MAX).min(pending)
}

fn pending_count(job: &Job, step: u16) -> u16 {
    u16::try_from(job.pending_tasks(step).count()).unwrap_or(u16::MAX)
}
