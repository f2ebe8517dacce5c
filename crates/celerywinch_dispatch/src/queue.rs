//! The queue of tasks that wait for a slot, and their order.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use celerywinch_catalogue::Class;
use celerywinch_types::{KindName, Time};

use crate::{JobId, TaskRef};

/// The queued tasks of one team in one class, earliest deadline first.
type Lane = BTreeMap<(Time, TaskRef), ()>;

/// Class and team of a lane, ordered by class.
type LaneKey = (Class, Arc<str>);

/// The queued tasks of one kind.
#[derive(Debug, Default)]
struct KindQueue {
    lanes: BTreeMap<LaneKey, Lane>,
    by_class: BTreeMap<Class, usize>,
    len: usize,
}

/// The queued tasks of all kinds.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    kinds: BTreeMap<KindName, KindQueue>,
    positions: HashMap<JobId, Vec<(KindName, LaneKey, Time, TaskRef)>>,
    len: usize,
}

/// The task that starts next.
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
        let tasks = queue.lanes.entry(lane.clone()).or_default();
        tasks.insert((deadline, task), ());
        *queue.by_class.entry(class).or_default() += 1;
        queue.len += 1;
        self.len += 1;
        let position = (kind.clone(), lane, deadline, task);
        self.positions.entry(task.job).or_default().push(position);
    }

    /// Returns the head of a kind: class first, then teams within their share, then the deadline.
    ///
    /// `over_share` returns whether a team has used up its share. A team's burst is thus served after all tasks of the
    /// same class that are within the share of their team, but may use all slots that no other team needs.
    pub(crate) fn head(&self, kind: &str, over_share: impl Fn(&str) -> bool) -> Option<Head> {
        let queue = self.kinds.get(kind)?;
        let heads = queue.lanes.iter().filter_map(|(lane, tasks)| {
            let (deadline, task) = tasks.first_key_value()?.0;
            Some(Head {
                lane: lane.clone(),
                deadline: *deadline,
                task: *task,
            })
        });
        heads.min_by_key(|head| (head.lane.0, over_share(&head.lane.1), head.deadline))
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

    /// Removes all tasks of a job. The cost depends only on the number of its own tasks, as cancellations come in bursts.
    pub(crate) fn drop_job(&mut self, job: JobId) {
        for (kind, lane, deadline, task) in self.positions.remove(&job).unwrap_or_default() {
            self.remove(&kind, &lane, deadline, task);
        }
    }

    /// Returns the jobs with a task whose deadline is before `earliest_end`, the end of the fastest run of its kind.
    pub(crate) fn infeasible_jobs(&self, earliest_end: impl Fn(&str) -> Time) -> Vec<JobId> {
        let mut jobs = Vec::new();
        for (kind, queue) in &self.kinds {
            let limit = earliest_end(kind);
            for lane in queue.lanes.values() {
                let late = lane.keys().take_while(|(deadline, _)| *deadline < limit);
                jobs.extend(late.map(|(_, task)| task.job));
            }
        }
        jobs.sort_unstable();
        jobs.dedup();
        jobs
    }

    /// Returns the number of queued tasks in classes up to `class`.
    pub(crate) fn len_up_to(&self, class: Class) -> usize {
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
