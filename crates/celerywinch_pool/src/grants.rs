//! The right to start the tasks of an origin.
//!
//! An origin that considers this dispatcher lost has its tasks run elsewhere. Telling the dispatcher to drop them is
//! not sufficient: the message may be lost or late, and a submission that was delayed by a network partition may arrive
//! seconds after it, when the task is running at another dispatcher. The job would run twice. So a task is started only
//! under a grant that ends without a message: it expires by this dispatcher's own clock before the origin can have
//! passed the task on, and the origin renews it with each heartbeat. A submission of an earlier session than the
//! grant's is not accepted at all.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerywinch_types::{Incarnation, InstanceId, JobId, Session, Time};

use crate::PoolEvent;
use crate::job::Task;
use crate::pool::{Output, Pool};
use crate::worker::Worker;

/// A grant may have expired only because heartbeats were late. Runs of its origin are kept for this long after it,
/// without an extension of their leases; then they are stopped.
const SUSPENSION: Duration = Duration::from_millis(300);

/// The right to start the tasks of an origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The incarnation of the origin.
    pub incarnation: Incarnation,
    /// The session of the grant. Tasks that were submitted in another session may be elsewhere.
    pub session: Session,
    /// When the grant expires, by this process's clock.
    pub until: Time,
}

impl Grant {
    /// Returns a grant that does not expire, for the origin in the same process, which cannot consider the dispatcher
    /// lost.
    #[must_use]
    pub fn unlimited(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            session: Session::default(),
            until: Time::NEVER,
        }
    }
}

/// The grants of all origins.
#[derive(Clone, Debug, Default)]
pub(crate) struct Grants {
    grants: BTreeMap<InstanceId, Grant>,
    /// Origins whose submissions were dropped and that have not been asked for them since.
    held_up: BTreeSet<InstanceId>,
}

/// The effect of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Renewal {
    /// The known grant was extended, or the renewal changed nothing.
    Extended,
    /// There was no grant, or it had expired, or it was of another session.
    New,
}

impl Grants {
    fn renew(&mut self, now: Time, origin: InstanceId, grant: Grant) -> Renewal {
        let Some(known) = self.grants.get_mut(&origin) else {
            self.grants.insert(origin, grant);
            return Renewal::New;
        };
        if known.incarnation != grant.incarnation || known.session < grant.session {
            *known = grant;
            return Renewal::New;
        }
        let expired = known.until <= now;
        if known.session == grant.session {
            known.until = known.until.max(grant.until);
        }
        if expired && known.until > now {
            Renewal::New
        } else {
            Renewal::Extended
        }
    }

    /// Returns the session in which an origin submits tasks at present.
    pub(crate) fn session(&self, origin: InstanceId) -> Option<Session> {
        self.grants.get(&origin).map(|grant| grant.session)
    }

    /// Returns whether tasks that an origin has submitted in a session may be started.
    pub(crate) fn allows(&self, now: Time, origin: InstanceId, session: Option<Session>) -> bool {
        let grant = self.grants.get(&origin);
        grant.is_some_and(|grant| grant.until > now && Some(grant.session) == session)
    }

    /// Returns those of `origins` whose grants expired at least `SUSPENSION` ago, so that their tasks here are dropped.
    fn expired_origins(
        &self,
        now: Time,
        origins: impl Iterator<Item = InstanceId>,
    ) -> BTreeSet<InstanceId> {
        let expired = |origin: &InstanceId| {
            let grant = self.grants.get(origin);
            grant.is_some_and(|grant| now.since(grant.until) >= SUSPENSION)
        };
        origins.filter(expired).collect()
    }
}

impl Pool {
    /// Sets the grant of the origin in the same process.
    pub fn set_permanent_grant(&mut self, origin: InstanceId, grant: Grant) {
        self.grants.grants.insert(origin, grant);
    }

    /// Applies a grant that a heartbeat of an origin has renewed. If the grant is new, the origin is asked which tasks
    /// it wants: submissions may have been dropped before, and tasks that it does not name are elsewhere. A dispatcher
    /// that owns no domain asks only if it has dropped some; it then returns them.
    pub(crate) fn handle_grant(
        &mut self,
        now: Time,
        origin: InstanceId,
        grant: Grant,
        out: &mut Vec<Output>,
    ) {
        let renewal = self.grants.renew(now, origin, grant);
        if renewal == Renewal::New && grant.until > now {
            let held_up = self.grants.held_up.remove(&origin);
            if held_up || !self.owned.is_empty() {
                self.request_resync(origin, out);
            }
        }
    }

    /// Returns whether a submission belongs to the present session of its origin. Any other was delayed on its way, or
    /// has overtaken the heartbeat that tells its session; the origin is asked for it when its grant is renewed.
    pub(crate) fn is_current(
        &mut self,
        origin: InstanceId,
        session: Session,
        job: JobId,
        out: &mut Vec<Output>,
    ) -> bool {
        let present = self.grants.session(origin);
        if present == Some(session) {
            return true;
        }
        self.grants.held_up.insert(origin);
        out.push(Output::Event(PoolEvent::HeldUp {
            origin,
            job,
            session,
            present,
        }));
        false
    }

    /// Returns whether a task may be started now.
    pub(crate) fn may_start(&self, now: Time, origin: InstanceId, task: &Task) -> bool {
        self.grants.allows(now, origin, task.session)
    }

    /// Returns whether a worker has a run whose task may not be started any more. The origin of such a task waits for
    /// the end of the lease before it has it run elsewhere, so the lease must not be extended.
    ///
    /// The same holds for a run whose task was taken back, until the worker has accepted the stop: if stops are lost
    /// while polls are answered, the run would continue beside the new run of its task elsewhere.
    pub(crate) fn has_suspended_run(&self, now: Time, worker: &Worker) -> bool {
        worker.runs.iter().any(|key| {
            let run = &self.runs[*key];
            let Some(batch) = run.batch.and_then(|batch| self.batches.get(batch)) else {
                return !run.stop_accepted;
            };
            let task = batch.tasks.get(&run.task.index);
            task.is_some_and(|task| !self.may_start(now, batch.origin, task))
        })
    }

    /// Drops the tasks of origins whose grants expired at least `SUSPENSION` ago.
    pub(crate) fn tick_grants(&mut self, now: Time, out: &mut Vec<Output>) {
        self.drop_void_reservations(now);
        let origins = self.batches.values().map(|batch| batch.origin);
        let origins = origins.chain(self.reservations.origins());
        for origin in self.grants.expired_origins(now, origins) {
            out.push(Output::Event(PoolEvent::GrantOver { origin }));
            self.drop_origin(now, origin, out);
        }
    }
}
