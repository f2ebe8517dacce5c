//! Reservations: places in the queue for tasks that are still with their origins.
//!
//! The tasks of a reservation may have places at several dispatchers. A dispatcher with capacity for them holds it and
//! makes an offer to their origin, which submits the tasks to the first dispatcher that offers. A reservation starts
//! nothing by itself, so losing one, or having one too many, costs time only.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerywinch_types::{
    DeclineReason, Declined, InstanceId, JobId, Mechanism, Offer, Reservation, ReservationNumber,
    ReservedStep, Session, Time, WorkMsg,
};
use slotmap::{SlotMap, new_key_type};

use crate::PoolEvent;
use crate::admission::{PRIORITIES, meets_objective};
use crate::holds::{Hold, HoldKey};
use crate::job::Batch;
use crate::pool::{Output, Pool};
use crate::queue::{Entry, Rank};

/// How long a reservation is kept whose origin has never granted the start of its tasks: its first heartbeat is late, or
/// the origin is cut off.
const GRANT_TIMEOUT: Duration = Duration::from_secs(1);

new_key_type! {
    /// Key of a reservation.
    pub(crate) struct ReservationKey;
}

/// Identifies a reservation: its origin, the job and the step.
pub(crate) type ReservedFor = (InstanceId, JobId, u16);

/// A reservation.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    /// The step, without tasks.
    pub(crate) batch: Batch,
    /// The number of the last message about it.
    pub(crate) number: ReservationNumber,
    /// The number of tasks that are still with the origin.
    pub(crate) tasks: u16,
    /// The number of places that each of them has, at this and at other dispatchers.
    copies: u16,
    /// The capacity that is held for it.
    pub(crate) holds: Vec<HoldKey>,
    reserved_at: Time,
    /// No capacity is held before this time.
    pub(crate) paused_until: Time,
}

impl Waiting {
    /// Returns the session in which its origin reserved.
    pub(crate) fn session(&self) -> Session {
        self.batch.order.session
    }

    fn reserved_for(&self) -> ReservedFor {
        let order = &self.batch.order;
        (self.batch.origin, order.job, order.step)
    }

    pub(crate) fn step(&self) -> ReservedStep {
        ReservedStep {
            job: self.batch.order.job,
            step: self.batch.order.step,
            number: self.number,
        }
    }

    /// Returns its share of the work of `tasks` tasks, in thousandths of a core times ms: each of the dispatchers that have
    /// the reservation expects to do the same part of the work.
    fn shared_work(&self, tasks: u16) -> f64 {
        self.batch.work_of(tasks.into()) / f64::from(self.copies.max(1))
    }
}

/// All reservations, and the messages about them that are sent after the current input.
#[derive(Debug, Default)]
pub(crate) struct Reservations {
    pub(crate) waiting: SlotMap<ReservationKey, Waiting>,
    keys: BTreeMap<ReservedFor, ReservationKey>,
    pub(crate) holds: SlotMap<HoldKey, Hold>,
    pub(crate) unsent_offers: BTreeMap<InstanceId, Vec<Offer>>,
    unsent_declines: BTreeMap<InstanceId, Vec<Declined>>,
}

impl Reservations {
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(crate) fn key(&self, reserved: ReservedFor) -> Option<ReservationKey> {
        self.keys.get(&reserved).copied()
    }

    /// Returns the origins that have reservations.
    pub(crate) fn origins(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.waiting.values().map(|waiting| waiting.batch.origin)
    }

    /// Returns the number of tasks of a reservation for which no capacity is held.
    pub(crate) fn unheld_tasks(&self, key: ReservationKey) -> u16 {
        let waiting = &self.waiting[key];
        let held = waiting.holds.iter().map(|hold| self.holds[*hold].tasks);
        waiting.tasks.saturating_sub(held.sum())
    }

    fn decline(&mut self, origin: InstanceId, step: ReservedStep, reason: DeclineReason) {
        let declined = Declined { step, reason };
        self.unsent_declines
            .entry(origin)
            .or_default()
            .push(declined);
    }
}

impl Pool {
    /// Reserves a place in the queue, or declines.
    pub(crate) fn reserve(
        &mut self,
        now: Time,
        from: InstanceId,
        reservation: Reservation,
        out: &mut Vec<Output>,
    ) {
        let Reservation {
            order,
            number,
            tasks,
            copies,
        } = reservation;
        // The origin has counted this dispatcher as lost since, and reserves again where it still wants to.
        if self
            .grants
            .session(from)
            .is_some_and(|present| order.session < present)
        {
            return;
        }
        let known = self.reservations.key((from, order.job, order.step));
        if known.is_some_and(|key| number <= self.reservations.waiting[key].number) {
            return;
        }
        let earlier = known.and_then(|key| self.remove_reservation(key));
        let mut batch = self.new_batch(now, from, order, tasks.into());
        // Where a part of the step has started, its probe task was at another dispatcher.
        batch.probe_passed = batch.started;
        let waiting = Waiting {
            batch,
            number,
            tasks,
            copies,
            holds: earlier.map(|earlier| earlier.holds).unwrap_or_default(),
            reserved_at: now,
            paused_until: Time::default(),
        };
        let reason = if waiting.holds.is_empty() {
            self.reason_to_decline(now, &waiting)
        } else {
            None
        };
        if let Some(reason) = reason {
            self.decline(waiting.batch.origin, waiting.step(), reason, out);
            return;
        }
        out.push(Output::Event(PoolEvent::Reserved {
            job: waiting.batch.order.job,
            origin: from,
            tasks: tasks.into(),
            copies: copies.into(),
        }));
        let reserved = waiting.reserved_for();
        let key = self.reservations.waiting.insert(waiting);
        self.reservations.keys.insert(reserved, key);
        for hold in self.reservations.waiting[key].holds.clone() {
            self.reservations.holds[hold].reservation = key;
        }
        let rank = self.reservation_rank(key);
        self.queue.insert(rank);
    }

    /// Returns why a new reservation cannot be kept, if so.
    fn reason_to_decline(&self, now: Time, waiting: &Waiting) -> Option<DeclineReason> {
        let batch = &waiting.batch;
        if self.owned.is_empty() {
            return Some(DeclineReason::NotOwner);
        }
        if self.is_unplaceable(now, batch) {
            return Some(DeclineReason::Unplaced);
        }
        let disabled = self.config.disabled;
        let fits_now =
            self.queue.is_empty() && self.free_slots(now, batch) >= usize::from(waiting.tasks);
        if fits_now || !batch.order.refusable || disabled.contains(Mechanism::Admission) {
            return None;
        }
        let rank = Rank::new(
            Entry::Reservation(ReservationKey::default()),
            batch,
            disabled,
        );
        let inflow_rate = self.inflow_above(now, batch.order.priority);
        let new_work = waiting.shared_work(waiting.tasks);
        let wait = self.wait_ms(now, self.queue.ahead(rank), new_work, inflow_rate);
        let late = !meets_objective(now, batch, wait);
        late.then(|| DeclineReason::Late(self.retry_ms(wait)))
    }

    fn decline(
        &mut self,
        origin: InstanceId,
        step: ReservedStep,
        reason: DeclineReason,
        out: &mut Vec<Output>,
    ) {
        self.reservations.decline(origin, step, reason);
        out.push(Output::Event(PoolEvent::Declined {
            job: step.job,
            origin,
            reason,
        }));
    }

    /// Declines a reservation that waits here.
    fn decline_waiting(
        &mut self,
        key: ReservationKey,
        reason: DeclineReason,
        out: &mut Vec<Output>,
    ) {
        if let Some(waiting) = self.drop_reservation(key) {
            self.decline(waiting.batch.origin, waiting.step(), reason, out);
        }
    }

    /// Declines a waiting reservation that no worker here may take any more, or whose job has not started and can no
    /// longer end in time.
    pub(crate) fn shed_reservation(
        &mut self,
        now: Time,
        key: ReservationKey,
        out: &mut Vec<Output>,
    ) {
        let waiting = &self.reservations.waiting[key];
        let batch = &waiting.batch;
        if self.is_unplaceable(now, batch) {
            self.decline_waiting(key, DeclineReason::Unplaced, out);
            return;
        }
        let disabled = self.config.disabled.contains(Mechanism::Shedding);
        let offered = !waiting.holds.is_empty();
        if offered || !batch.order.refusable || disabled || meets_objective(now, batch, 0) {
            return;
        }
        let rank = self.reservation_rank(key);
        let wait = self.wait_ms(now, self.queue.ahead(rank), 0.0, 0.0);
        let reason = DeclineReason::Late(self.retry_ms(wait));
        self.decline_waiting(key, reason, out);
    }

    /// Declines all reservations, as no domain is owned any more.
    pub(crate) fn decline_all(&mut self, out: &mut Vec<Output>) {
        let keys: Vec<_> = self.reservations.waiting.keys().collect();
        for key in keys {
            self.decline_waiting(key, DeclineReason::NotOwner, out);
        }
    }

    /// Ends reservations of an origin, unless it has reserved again since.
    pub(crate) fn release(
        &mut self,
        from: InstanceId,
        steps: &[ReservedStep],
        out: &mut Vec<Output>,
    ) {
        for step in steps {
            let key = self.reservations.key((from, step.job, step.step));
            let Some(key) = key.filter(|k| self.reservations.waiting[*k].number <= step.number)
            else {
                continue;
            };
            let unused = self.reservations.waiting[key].holds.len();
            self.drop_reservation(key);
            out.push(Output::Event(PoolEvent::Released {
                job: step.job,
                origin: from,
                unused,
            }));
        }
    }

    /// Counts tasks as submitted under a reservation, which ends with the last one.
    pub(crate) fn count_submitted(&mut self, key: ReservationKey, tasks: u16) {
        let waiting = &mut self.reservations.waiting[key];
        waiting.tasks = waiting.tasks.saturating_sub(tasks);
        if waiting.tasks == 0 {
            self.drop_reservation(key);
        }
    }

    /// Drops all reservations of an origin.
    pub(crate) fn drop_reservations_of(&mut self, origin: InstanceId) {
        self.drop_reservations(|waiting| waiting.batch.origin == origin);
    }

    /// Drops reservations of earlier sessions of their origins, and of origins that have never granted a start.
    pub(crate) fn drop_void_reservations(&mut self, now: Time) {
        let origins: BTreeSet<_> = self.reservations.origins().collect();
        let sessions = origins.into_iter();
        let sessions = sessions.map(|origin| (origin, self.grants.session(origin)));
        let sessions: BTreeMap<_, _> = sessions.collect();
        self.drop_reservations(|waiting| match sessions[&waiting.batch.origin] {
            Some(session) => waiting.session() < session,
            None => now.since(waiting.reserved_at) >= GRANT_TIMEOUT,
        });
    }

    fn drop_reservations(&mut self, is_void: impl Fn(&Waiting) -> bool) {
        let waiting = self.reservations.waiting.iter();
        let void = waiting.filter(|(_, waiting)| is_void(waiting));
        let keys: Vec<_> = void.map(|(key, _)| key).collect();
        for key in keys {
            self.drop_reservation(key);
        }
    }

    /// Removes a reservation and frees what is held for it.
    fn drop_reservation(&mut self, key: ReservationKey) -> Option<Waiting> {
        let waiting = self.remove_reservation(key)?;
        for hold in &waiting.holds {
            self.free_hold(*hold);
        }
        Some(waiting)
    }

    /// Removes a reservation; what is held for it stays held.
    fn remove_reservation(&mut self, key: ReservationKey) -> Option<Waiting> {
        let rank = self.reservation_rank(key);
        self.queue.remove(rank);
        let waiting = self.reservations.waiting.remove(key)?;
        self.reservations.keys.remove(&waiting.reserved_for());
        Some(waiting)
    }

    pub(crate) fn reservation_rank(&self, key: ReservationKey) -> Rank {
        let batch = &self.reservations.waiting[key].batch;
        Rank::new(Entry::Reservation(key), batch, self.config.disabled)
    }

    /// Returns the work that an entry of the queue waits with, in thousandths of a core times ms.
    pub(crate) fn waiting_work(&self, entry: Entry) -> f64 {
        match entry {
            Entry::Batch(key) => self.batches[key].waiting_work(),
            Entry::Reservation(key) => {
                let waiting = &self.reservations.waiting[key];
                waiting.shared_work(self.reservations.unheld_tasks(key))
            }
        }
    }

    /// Returns the number of waiting reservations for priority 0, 1, and 2 or more.
    #[must_use]
    pub fn waiting_reservations(&self) -> [usize; PRIORITIES as usize] {
        let mut counts = [0; PRIORITIES as usize];
        for waiting in self.reservations.waiting.values() {
            let class = waiting.batch.order.priority.min(PRIORITIES - 1);
            counts[usize::from(class)] += 1;
        }
        counts
    }

    pub(crate) fn send_reservation_messages(&mut self, out: &mut Vec<Output>) {
        for (origin, offers) in std::mem::take(&mut self.reservations.unsent_offers) {
            out.push(Output::Send(origin, WorkMsg::Offer(offers)));
        }
        for (origin, declined) in std::mem::take(&mut self.reservations.unsent_declines) {
            out.push(Output::Send(origin, WorkMsg::Decline(declined)));
        }
    }
}
