//! What waits for a slot, and what goes first.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use celerywinch_catalogue::Class;
use celerywinch_types::{KindName, Time};

use crate::{JobId, TaskRef};

/// The work of one team in one class; within it the earliest deadline goes first.
type Lane = BTreeMap<(Time, TaskRef), ()>;

/// Whose work it is, in order of class.
type LaneKey = (Class, Arc<str>);

/// The tasks of one kind that wait.
#[derive(Debug, Default)]
struct KindQueue {
    lanes: BTreeMap<LaneKey, Lane>,
    by_class: BTreeMap<Class, usize>,
    len: usize,
}

/// All tasks that wait.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    kinds: BTreeMap<KindName, KindQueue>,
    places: HashMap<JobId, Vec<(KindName, LaneKey, Time, TaskRef)>>,
    len: usize,
}

/// The task that goes first.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    pub(crate) lane: LaneKey,
    pub(crate) deadline: Time,
    pub(crate) task: TaskRef,
}

impl Queue {
    pub(crate) fn push(
        &mut self,
        kind: &KindName,
        class: Class,
        team: &Arc<str>,
        deadline: Time,
        task: TaskRef,
    ) {
        let lane = (class, team.clone());
        let queue = self.kinds.entry(kind.clone()).or_default();
        let slot = queue.lanes.entry(lane.clone()).or_default();
        slot.insert((deadline, task), ());
        *queue.by_class.entry(class).or_default() += 1;
        queue.len += 1;
        self.len += 1;
        let place = (kind.clone(), lane, deadline, task);
        self.places.entry(task.job).or_default().push(place);
    }

    /// The head of a kind: class first, then teams within their share, then the deadline.
    ///
    /// `over` tells whether a team has used up its share. A team's burst is thus served after all
    /// work of the same class that is within its share, yet fills whatever nobody else wants.
    pub(crate) fn head(&self, kind: &str, over: impl Fn(&str) -> bool) -> Option<Head> {
        let queue = self.kinds.get(kind)?;
        let heads = queue.lanes.iter().filter_map(|(lane, tasks)| {
            let (deadline, task) = tasks.first_key_value()?.0;
            Some(Head {
                lane: lane.clone(),
                deadline: *deadline,
                task: *task,
            })
        });
        heads.min_by_key(|head| (head.lane.0, over(&head.lane.1), head.deadline))
    }

    pub(crate) fn remove(&mut self, kind: &str, lane: &LaneKey, deadline: Time, task: TaskRef) {
        let Some(queue) = self.kinds.get_mut(kind) else {
            return;
        };
        let Some(tasks) = queue.lanes.get_mut(lane) else {
            return;
        };
        if tasks.remove(&(deadline, task)).is_none() {
            return;
        }
        if tasks.is_empty() {
            queue.lanes.remove(lane);
        }
        if let Some(count) = queue.by_class.get_mut(&lane.0) {
            *count -= 1;
        }
        queue.len -= 1;
        self.len -= 1;
    }

    /// Takes all tasks of a job out of the queue, at a cost of its own tasks only: cancellations
    /// come in waves.
    pub(crate) fn drop_job(&mut self, job: JobId) {
        for (kind, lane, deadline, task) in self.places.remove(&job).unwrap_or_default() {
            self.remove(&kind, &lane, deadline, task);
        }
    }

    /// Jobs whose next task can no longer be done: `latest` is the last useful start by kind.
    pub(crate) fn infeasible_jobs(&self, latest: impl Fn(&str) -> Time) -> Vec<JobId> {
        let mut jobs = Vec::new();
        for (kind, queue) in &self.kinds {
            let limit = latest(kind);
            for lane in queue.lanes.values() {
                let late = lane.keys().take_while(|(deadline, _)| *deadline < limit);
                jobs.extend(late.map(|(_, task)| task.job));
            }
        }
        jobs.sort_unstable();
        jobs.dedup();
        jobs
    }

    /// Waiting tasks in classes up to `class`.
    pub(crate) fn ahead(&self, class: Class) -> usize {
        let kinds = self.kinds.values();
        let waiting = kinds.flat_map(|kind| kind.by_class.range(..=class));
        waiting.map(|(_, count)| count).sum()
    }

    pub(crate) fn waiting_kinds(&self) -> Vec<KindName> {
        let waiting = self.kinds.iter().filter(|(_, queue)| queue.len > 0);
        waiting.map(|(kind, _)| kind.clone()).collect()
    }

    pub(crate) fn kind_len(&self, kind: &str) -> usize {
        self.kinds.get(kind).map_or(0, |queue| queue.len)
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }
}
