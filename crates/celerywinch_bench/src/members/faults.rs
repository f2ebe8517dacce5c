//! Fault injection into members, workers and the links between them.

use std::time::Duration;

use celerywinch_standin::Health;
use rand::Rng;
use rand::seq::IteratorRandom;

use super::impairments::ImpairmentPlan;
use super::world::World;

/// Kinds of faults that are injected, one fault at a time at a fixed interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// Interval between two faults, in ms.
    pub interval_ms: u64,
    /// Whether members are killed, stopped as planned and frozen, and data centres are partitioned.
    pub members: bool,
    /// Whether the wall clocks of members are wrong, by a different offset in each incarnation. Restarted workers that
    /// reuse their names may have their clocks set back.
    pub clock_skew: bool,
    /// Whether workers crash, hang, slow down and fail, and calls to them are lost or executed late.
    pub workers: bool,
    /// Whether many entries at once are partitioned from all other members, while workers and callers can still reach
    /// them. Messages sent as the partition began arrive up to some seconds after it has healed.
    pub partitioned: bool,
    /// Whether the incoming paths of members are congested: answers of workers, messages and heartbeats reach them up to
    /// 2 s late, in order, while what they send is not delayed. Also, answers of single workers are lost although their
    /// calls were executed.
    pub congested: bool,
    /// Whether connections between members that are alive are refused, so that the refusing member counts as lost at
    /// once. Also, calls are refused by workers that are down and by some that are alive.
    pub refused: bool,
    /// Whether workers keep their names when they restart, may drain, and have announcements that arrive out of order.
    pub reused_names: bool,
    /// Whether workers accept tasks that exceed their capacity, and the capacity shrinks and grows.
    pub shrinking: bool,
    /// Whether the tasks of some jobs crash their workers.
    pub crashing: bool,
    /// Whether operators start and end evacuations of data centres.
    pub evacuated: bool,
    /// Whether many connections are reset at once, and callers whose connections broke while they submitted their jobs
    /// submit them again within 25 ms.
    pub resets: bool,
    /// Whether the monotonic clocks of workers are up to 2% slow, each at its own rate.
    pub drift: bool,
    /// Workers that are impaired together, if any.
    pub impaired: Option<ImpairmentPlan>,
    /// Whether every third entry can carry three times as many workers as the others.
    pub uneven: bool,
}

/// Fault to be injected. Traces print its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Kill,
    Leave,
    Freeze,
    Cut,
    CutEntries,
    Crash,
    Hang,
    Slow,
    Fail,
    LoseCalls,
    LateOrders,
    Congest,
    LoseAnswers,
    Refuse,
    RefuseCalls,
    Drain,
    Shrink,
    Evacuate,
    Reset,
}

const MEMBER_FAULTS: [Fault; 4] = [Fault::Kill, Fault::Leave, Fault::Freeze, Fault::Cut];
const PARTITION_FAULTS: [Fault; 1] = [Fault::CutEntries];
/// Congestion is listed three times; otherwise it would rarely affect the dispatcher among all other faults.
const CONGESTED_FAULTS: [Fault; 4] = [
    Fault::Congest,
    Fault::Congest,
    Fault::Congest,
    Fault::LoseAnswers,
];
const REFUSED_FAULTS: [Fault; 3] = [Fault::Refuse, Fault::Refuse, Fault::RefuseCalls];
const NAME_REUSE_FAULTS: [Fault; 4] = [Fault::Drain, Fault::Drain, Fault::Crash, Fault::Crash];
const SHRINKING_FAULTS: [Fault; 4] = [Fault::Shrink; 4];
const EVACUATED_FAULTS: [Fault; 3] = [Fault::Evacuate; 3];
const RESET_FAULTS: [Fault; 3] = [Fault::Reset; 3];
const WORKER_FAULTS: [Fault; 6] = [
    Fault::Crash,
    Fault::Hang,
    Fault::Slow,
    Fault::Fail,
    Fault::LoseCalls,
    Fault::LateOrders,
];

impl World {
    /// Injects a random fault of the plan, unless the load is in its calm time.
    pub(crate) fn inject_fault(&mut self, plan: FaultPlan) {
        if self.options.load.is_calm(self.now) {
            return;
        }
        let members = MEMBER_FAULTS.iter().filter(|_| plan.members);
        let workers = WORKER_FAULTS.iter().filter(|_| plan.workers);
        let partitioned = PARTITION_FAULTS.iter().filter(|_| plan.partitioned);
        let congested = CONGESTED_FAULTS.iter().filter(|_| plan.congested);
        let refused = REFUSED_FAULTS.iter().filter(|_| plan.refused);
        let reused_names = NAME_REUSE_FAULTS.iter().filter(|_| plan.reused_names);
        let shrinking = SHRINKING_FAULTS.iter().filter(|_| plan.shrinking);
        let evacuated = EVACUATED_FAULTS.iter().filter(|_| plan.evacuated);
        let resets = RESET_FAULTS.iter().filter(|_| plan.resets);
        let Some(fault) = members
            .chain(workers)
            .chain(partitioned)
            .chain(congested)
            .chain(refused)
            .chain(reused_names)
            .chain(shrinking)
            .chain(evacuated)
            .chain(resets)
            .choose(&mut self.random)
            .copied()
        else {
            return;
        };
        let duration = Duration::from_millis(self.random.random_range(200..2_500));
        self.trace(|| format!("fault: {fault:?} for {duration:?}"));
        match fault {
            Fault::Kill => self.kill_member(duration),
            Fault::Leave => self.stop_member(),
            Fault::Freeze => self.freeze_member(duration),
            Fault::Cut => self.cut_data_centre(duration),
            Fault::CutEntries => self.isolate_entries(duration),
            Fault::Crash => self.crash_random_worker(duration),
            Fault::Hang => self.impair_worker(Health::Hung, duration),
            Fault::Slow => {
                let slower = self.random.random_range(2.0..8.0);
                self.impair_worker(Health::Healthy(slower), duration);
            }
            Fault::Fail => self.impair_worker(Health::Failing, duration),
            Fault::LoseCalls => self.lose_calls(duration),
            Fault::LateOrders => self.delay_requests(duration),
            Fault::Congest => self.congest(duration),
            Fault::LoseAnswers => self.lose_answers(duration),
            Fault::Refuse => self.refuse_links(duration),
            Fault::RefuseCalls => self.refuse_calls(duration),
            Fault::Drain => self.drain_worker(),
            Fault::Shrink => self.shrink_worker(duration),
            Fault::Evacuate => self.evacuate(),
            Fault::Reset => self.reset_connections(),
        }
    }
}
