//! Capacity that is held for reservations until their origins answer an offer.

use std::time::Duration;

use celerywinch_types::{JobId, Offer, Resources, Time};
use slotmap::new_key_type;

use crate::PoolEvent;
use crate::pool::{Output, Pool};
use crate::reservations::{ReservationKey, ReservedFor};
use crate::worker::{Worker, WorkerKey};

/// How long capacity is held: a round trip between data centres and the delay of busy processes.
const HOLD_TIME: Duration = Duration::from_millis(40);
/// Delay until capacity is held again for a reservation whose offer was not answered, so that an origin that is lost does
/// not block capacity until this is noticed.
const UNANSWERED_DELAY: Duration = Duration::from_millis(100);

new_key_type! {
    /// Key of held capacity.
    pub(crate) struct HoldKey;
}

/// Capacity of a worker that is held for a reservation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hold {
    pub(crate) reservation: ReservationKey,
    worker: WorkerKey,
    job: JobId,
    step: u16,
    need: Resources,
    /// The number of tasks offered for it: one, or all of a step that starts with a probe task.
    pub(crate) tasks: u16,
    held_at: Time,
}

impl Pool {
    /// Holds capacity for a reservation and offers it to the origin. Returns false if not all of its tasks found a worker.
    pub(crate) fn hold_capacity(
        &mut self,
        now: Time,
        key: ReservationKey,
        out: &mut Vec<Output>,
    ) -> bool {
        let waiting = &self.reservations.waiting[key];
        let origin = waiting.batch.origin;
        let granted = self.grants.allows(now, origin, Some(waiting.session()));
        if !granted || now < waiting.paused_until {
            return true;
        }
        let probing = self.needs_probe(&waiting.batch);
        let mut unheld = self.reservations.unheld_tasks(key);
        let mut offered = 0;
        let mut waits = false;
        while unheld > 0 {
            let batch = &self.reservations.waiting[key].batch;
            let Some(worker) = self.choose_worker(now, batch, None) else {
                break;
            };
            if self.awaits_faster(now, batch, worker) {
                waits = true;
                break;
            }
            let tasks = if probing { unheld } else { 1 };
            self.hold(now, key, worker, tasks);
            unheld -= tasks;
            offered += tasks;
        }
        if offered > 0 {
            let waiting = &self.reservations.waiting[key];
            let step = waiting.step();
            let offer = Offer {
                step,
                tasks: offered,
            };
            let offers = self.reservations.unsent_offers.entry(origin);
            offers.or_default().push(offer);
            out.push(Output::Event(PoolEvent::Offered {
                job: step.job,
                origin,
                tasks: offered.into(),
            }));
        }
        unheld == 0 || waits
    }

    fn hold(&mut self, now: Time, reservation: ReservationKey, worker: WorkerKey, tasks: u16) {
        let waiting = &mut self.reservations.waiting[reservation];
        let order = &waiting.batch.order;
        let held = &mut self.workers[worker].held;
        *held = held.saturating_add(order.need);
        let hold = self.reservations.holds.insert(Hold {
            reservation,
            worker,
            job: order.job,
            step: order.step,
            need: order.need,
            tasks,
            held_at: now,
        });
        waiting.holds.push(hold);
    }

    /// Frees held capacity; its reservation is not changed.
    pub(crate) fn free_hold(&mut self, key: HoldKey) -> Option<Hold> {
        let hold = self.reservations.holds.remove(key)?;
        if let Some(worker) = self.workers.get_mut(hold.worker) {
            worker.held = worker.held.saturating_sub(hold.need);
        }
        Some(hold)
    }

    /// Frees the capacity that is held for tasks which are submitted now, for them to start on. Returns whether any was
    /// held.
    pub(crate) fn take_holds(
        &mut self,
        now: Time,
        reserved: ReservedFor,
        tasks: u16,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(key) = self.reservations.key(reserved) else {
            return false;
        };
        let mut freed = 0;
        let mut oldest = now;
        while freed < tasks {
            let waiting = &mut self.reservations.waiting[key];
            if waiting.holds.is_empty() {
                break;
            }
            let hold = waiting.holds.remove(0);
            if let Some(hold) = self.free_hold(hold) {
                freed += hold.tasks;
                oldest = oldest.min(hold.held_at);
            }
        }
        if freed > 0 {
            out.push(Output::Event(PoolEvent::OfferUsed {
                job: reserved.1,
                origin: reserved.0,
                tasks: freed.into(),
                took: now.since(oldest).as_millis() as u32,
            }));
        }
        self.count_submitted(key, tasks);
        freed > 0
    }

    /// Frees what is held for too long, on workers that take no tasks any more, or without the grant of the origin.
    pub(crate) fn free_void_holds(&mut self, now: Time, out: &mut Vec<Output>) {
        let holds = self.reservations.holds.iter();
        let void = holds.filter(|(_, hold)| !self.is_kept(now, hold));
        let void: Vec<_> = void.map(|(key, _)| key).collect();
        for key in void {
            let Some(hold) = self.free_hold(key) else {
                continue;
            };
            let Some(waiting) = self.reservations.waiting.get_mut(hold.reservation) else {
                continue;
            };
            waiting.holds.retain(|other| *other != key);
            if now.since(hold.held_at) >= HOLD_TIME {
                waiting.paused_until = now + UNANSWERED_DELAY;
            }
            out.push(Output::Event(PoolEvent::OfferExpired {
                job: hold.job,
                origin: waiting.batch.origin,
                tasks: hold.tasks.into(),
            }));
        }
    }

    fn is_kept(&self, now: Time, hold: &Hold) -> bool {
        let available = |worker: &Worker| {
            worker.is_available(now) && !self.evacuated.contains(&worker.announcement.dc)
        };
        let granted = self.reservations.waiting.get(hold.reservation);
        let granted = granted.is_some_and(|waiting| {
            let origin = waiting.batch.origin;
            self.grants.allows(now, origin, Some(waiting.session()))
        });
        granted
            && now.since(hold.held_at) < HOLD_TIME
            && self.workers.get(hold.worker).is_some_and(available)
    }

    /// Returns the number of tasks of a step for which capacity of a worker is held.
    pub(crate) fn holds_of_step(&self, worker: WorkerKey, job: JobId, step: u16) -> usize {
        let holds = self.reservations.holds.values();
        let of_step = holds.filter(|hold| hold.worker == worker);
        of_step
            .filter(|hold| (hold.job, hold.step) == (job, step))
            .count()
    }
}
