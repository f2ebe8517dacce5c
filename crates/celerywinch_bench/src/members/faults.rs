//! Faults that strike members, workers and the paths between them.

use std::time::Duration;

use celerywinch_standin::Health;
use rand::Rng;
use rand::seq::IteratorRandom;

use super::world::World;

/// Which faults strike; one of them every `every` ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// Ms between two faults.
    pub every: u64,
    /// Whether members are killed, stopped as planned and frozen, and data centres are cut off.
    pub members: bool,
    /// Whether the wall clocks of members are wrong, each life of one by another time.
    pub clocks: bool,
    /// Whether workers crash, hang, slow down and fail, and their calls are lost or carried out late.
    pub workers: bool,
    /// Whether many entries at once are cut off from all other members, while workers and callers
    /// reach them; what was sent as the cut began arrives up to some seconds after it has healed.
    pub held: bool,
    /// Whether the incoming paths of members are congested: answers of workers, messages and heartbeats
    /// reach them up to 2 s late, in order, while what they send goes out in time; and whether answers of
    /// single workers are lost though their orders were carried out.
    pub congested: bool,
    /// Whether members that are alive are refused connections by others: those count as lost at once; and
    /// whether calls are refused by workers that are down, and by some that are alive.
    pub refused: bool,
    /// Whether workers keep their names when they start again, may say that they leave, and are heard of out of order.
    pub reborn: bool,
    /// Whether workers do not guard their room, and it shrinks and grows.
    pub shrinking: bool,
    /// Whether the tasks of some jobs end their workers.
    pub crashing: bool,
    /// Whether operators start and end evacuations of data centres.
    pub evacuated: bool,
    /// Whether many connections are reset at once, and callers whose connections broke as they sent their jobs send them
    /// again at once.
    pub resets: bool,
    /// Whether the steady clocks of workers are up to 2% slow, each by its own share.
    pub drift: bool,
}

/// A fault.
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
const HELD_FAULTS: [Fault; 1] = [Fault::CutEntries];
/// Congestion as often as three others, or it would rarely strike the dispatcher beside all else.
const CONGESTED_FAULTS: [Fault; 4] = [
    Fault::Congest,
    Fault::Congest,
    Fault::Congest,
    Fault::LoseAnswers,
];
const REFUSED_FAULTS: [Fault; 3] = [Fault::Refuse, Fault::Refuse, Fault::RefuseCalls];
const REBORN_FAULTS: [Fault; 4] = [Fault::Drain, Fault::Drain, Fault::Crash, Fault::Crash];
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
    pub(crate) fn strike(&mut self, plan: FaultPlan) {
        if self.options.load.is_calm(self.now) {
            return;
        }
        let members = MEMBER_FAULTS.iter().filter(|_| plan.members);
        let workers = WORKER_FAULTS.iter().filter(|_| plan.workers);
        let held = HELD_FAULTS.iter().filter(|_| plan.held);
        let congested = CONGESTED_FAULTS.iter().filter(|_| plan.congested);
        let refused = REFUSED_FAULTS.iter().filter(|_| plan.refused);
        let reborn = REBORN_FAULTS.iter().filter(|_| plan.reborn);
        let shrinking = SHRINKING_FAULTS.iter().filter(|_| plan.shrinking);
        let evacuated = EVACUATED_FAULTS.iter().filter(|_| plan.evacuated);
        let resets = RESET_FAULTS.iter().filter(|_| plan.resets);
        let Some(fault) = members
            .chain(workers)
            .chain(held)
            .chain(congested)
            .chain(refused)
            .chain(reborn)
            .chain(shrinking)
            .chain(evacuated)
            .chain(resets)
            .choose(&mut self.random)
            .copied()
        else {
            return;
        };
        let lasts = Duration::from_millis(self.random.random_range(200..2_500));
        self.say(|| format!("fault: {fault:?} for {lasts:?}"));
        match fault {
            Fault::Kill => self.kill_member(lasts),
            Fault::Leave => self.stop_member(),
            Fault::Freeze => self.freeze_member(lasts),
            Fault::Cut => self.cut(lasts),
            Fault::CutEntries => self.cut_entries(lasts),
            Fault::Crash => self.crash_worker(lasts),
            Fault::Hang => self.weaken(Health::Hung, lasts),
            Fault::Slow => {
                let slower = self.random.random_range(2.0..8.0);
                self.weaken(Health::Healthy(slower), lasts);
            }
            Fault::Fail => self.weaken(Health::Failing, lasts),
            Fault::LoseCalls => self.lose_calls(lasts),
            Fault::LateOrders => self.late_orders(lasts),
            Fault::Congest => self.congest(lasts),
            Fault::LoseAnswers => self.lose_answers(lasts),
            Fault::Refuse => self.refuse_links(lasts),
            Fault::RefuseCalls => self.refuse_calls(lasts),
            Fault::Drain => self.drain_worker(),
            Fault::Shrink => self.shrink_worker(lasts),
            Fault::Evacuate => self.evacuate(),
            Fault::Reset => self.reset_connections(),
        }
    }
}
