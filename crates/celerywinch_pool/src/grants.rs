//! The right to start the tasks of an origin.
//!
//! An origin that takes this dispatcher for lost has its tasks done elsewhere. Telling the dispatcher
//! to drop them does not suffice: the message may be lost or late, and a hand-in that was held up in
//! a cut may arrive seconds after it, when the task runs at another dispatcher. The caller would see
//! one job done twice. So a task is started only under a grant that needs no message to end: it is
//! over by this dispatcher's own clock before the origin can have passed the task on, and the origin
//! renews it with each heartbeat. A hand-in of an earlier session than the grant's is not taken at all.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerywinch_types::{Incarnation, InstanceId, Session, Time};

use crate::PoolEvent;
use crate::job::Task;
use crate::pool::{Output, Pool};
use crate::worker::Worker;

/// A grant may be over only because heartbeats were late. What runs of its origin is kept for so long
/// after it, though no lease is extended beside it; then it is stopped.
const SUSPENDED: Duration = Duration::from_millis(300);

/// The right to start the tasks of an origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The life of the origin.
    pub incarnation: Incarnation,
    /// Tasks that were handed in under another session may be elsewhere.
    pub session: Session,
    /// When it ends, by this process's clock.
    pub until: Time,
}

impl Grant {
    /// For the origin of the same process, which cannot take the dispatcher for lost.
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
}

/// What a renewal changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// The grant goes on.
    Renewed,
    /// There was none, or it was over, or it is of another session.
    New,
}

impl Grants {
    fn renew(&mut self, now: Time, origin: InstanceId, grant: Grant) -> Change {
        let Some(known) = self.grants.get_mut(&origin) else {
            self.grants.insert(origin, grant);
            return Change::New;
        };
        if known.incarnation != grant.incarnation || known.session < grant.session {
            *known = grant;
            return Change::New;
        }
        let over = known.until <= now;
        if known.session == grant.session {
            known.until = known.until.max(grant.until);
        }
        if over && known.until > now {
            Change::New
        } else {
            Change::Renewed
        }
    }

    /// The session under which an origin hands in at present.
    pub(crate) fn session(&self, origin: InstanceId) -> Option<Session> {
        self.grants.get(&origin).map(|grant| grant.session)
    }

    /// Whether tasks that an origin has handed in under a session may be started.
    pub(crate) fn allows(&self, now: Time, origin: InstanceId, session: Option<Session>) -> bool {
        let grant = self.grants.get(&origin);
        grant.is_some_and(|grant| grant.until > now && Some(grant.session) == session)
    }

    /// Those of `origins` whose grants have been over for long enough that what they have here is dropped.
    fn lapsed(&self, now: Time, origins: impl Iterator<Item = InstanceId>) -> BTreeSet<InstanceId> {
        let over = |origin: &InstanceId| {
            let grant = self.grants.get(origin);
            grant.is_some_and(|grant| now.since(grant.until) >= SUSPENDED)
        };
        origins.filter(over).collect()
    }
}

impl Pool {
    /// Takes a grant for good, of the origin in the same process.
    pub fn set_permanent_grant(&mut self, origin: InstanceId, grant: Grant) {
        self.grants.grants.insert(origin, grant);
    }

    /// A heartbeat of an origin has renewed its grant. Under a new one the origin is asked what it wants:
    /// hand-ins may have been dropped before, and what it does not name is elsewhere.
    pub(crate) fn granted(
        &mut self,
        now: Time,
        origin: InstanceId,
        grant: Grant,
        out: &mut Vec<Output>,
    ) {
        let change = self.grants.renew(now, origin, grant);
        if change == Change::New && grant.until > now && !self.owned.is_empty() {
            self.request_resync(origin, out);
        }
    }

    /// Whether a hand-in is of the origin's present session; one that is not was held up on its way.
    pub(crate) fn is_current(
        &self,
        origin: InstanceId,
        session: Session,
        out: &mut Vec<Output>,
    ) -> bool {
        let present = self.grants.session(origin);
        if present == Some(session) {
            return true;
        }
        out.push(Output::Event(PoolEvent::HeldUp {
            origin,
            session,
            present,
        }));
        false
    }

    /// Whether a task may be started at this moment.
    pub(crate) fn may_start(&self, now: Time, origin: InstanceId, task: &Task) -> bool {
        self.grants.allows(now, origin, task.session)
    }

    /// Whether a task runs on a worker that may not be started any more: its origin waits for the end of its
    /// lease before it has it done elsewhere, so nothing may extend that.
    ///
    /// Nor may it for a run that was taken back, until the worker has taken the stop: where stops are lost and
    /// looks are answered, the run would go on beside the one that its task has elsewhere by then.
    pub(crate) fn has_suspended(&self, now: Time, worker: &Worker) -> bool {
        worker.runs.iter().any(|key| {
            let run = &self.runs[*key];
            let Some(batch) = run.batch.and_then(|batch| self.batches.get(batch)) else {
                return !run.stop_accepted;
            };
            let task = batch.tasks.get(&run.task.index);
            task.is_some_and(|task| !self.may_start(now, batch.origin, task))
        })
    }

    /// Drops what origins have here whose grants are over for good.
    pub(crate) fn tick_grants(&mut self, now: Time, out: &mut Vec<Output>) {
        let origins = self.batches.values().map(|batch| batch.origin);
        for origin in self.grants.lapsed(now, origins) {
            out.push(Output::Event(PoolEvent::GrantOver { origin }));
            self.drop_origin(now, origin, out);
        }
    }
}
