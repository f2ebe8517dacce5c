//! How an entry of a large deployment notices that a data centre is cut off.

use std::collections::BTreeSet;
use std::time::Duration;

use celerywinch_member::{Input, Member, MemberConfig, Output};
use celerywinch_pool::PoolConfig;
use celerywinch_types::{
    Beat, DataCentreId, Domain, Fence, FleetMsg, Holding, Incarnation, InstanceId, Load, Part,
    Process, Stage, Time, WallMs,
};
use rstest::rstest;

const HERE: DataCentreId = DataCentreId(0);
const THERE: DataCentreId = DataCentreId(1);
/// The two that dispatch, each in another data centre: the entry under test hears both often.
const DISPATCHERS: [u32; 2] = [2, 22];
/// Others in the other data centre, which it hears every half second.
const OTHERS: std::ops::RangeInclusive<u32> = 3..=21;
const STEP: Duration = Duration::from_millis(10);

fn process(instance: u32) -> Process {
    Process {
        instance: InstanceId(instance),
        incarnation: Incarnation(1),
    }
}

fn beat(now: Time, instance: u32) -> Beat {
    let dispatches = DISPATCHERS.contains(&instance);
    let dc = if instance <= *OTHERS.end() {
        THERE
    } else {
        HERE
    };
    let holding = Holding {
        domain: Domain { dc, shard: 0 },
        fence: Fence(5),
        load: Load::default(),
    };
    Beat {
        part: Part::Entry,
        dc,
        stage: Stage::Ready,
        holdings: dispatches.then_some(holding).into_iter().collect(),
        fence: Fence(5),
        version: 1,
        shards: 1,
        sent: now,
        echo: None,
        every: if dispatches { 100 } else { 500 },
        wants: false,
        probe: false,
    }
}

/// Who speaks on after the first second, and what follows from that.
struct Case {
    /// Dispatchers that fall silent, by their place.
    silent: &'static [usize],
    /// Whether the others in the other data centre answer when they are asked.
    answer: bool,
    /// Whether those in the other data centre are asked.
    asked: bool,
    /// Whether they count as alive 600 ms after the silence began.
    alive: bool,
}

/// Callers of an entry that is cut off wait in vain, and so do those of a data centre whose dispatcher is cut off: entries
/// that hear each other rarely would take each other for alive for seconds. When all that is close in a data centre is
/// silent the others there are asked, and do not count without an answer.
#[rstest]
#[case::cut_off(Case { silent: &[0], answer: false, asked: true, alive: false })]
#[case::its_dispatcher_alone_is_lost(Case { silent: &[0], answer: true, asked: true, alive: true })]
#[case::another_data_centre(Case { silent: &[1], answer: false, asked: false, alive: true })]
#[case::nobody(Case { silent: &[], answer: false, asked: false, alive: true })]
fn others_are_asked_when_all_that_is_close_is_silent(#[case] case: Case) {
    let mut now = Time(1_000_000);
    let config = MemberConfig {
        me: process(1),
        part: Part::Entry,
        dc: HERE,
        dcs: BTreeSet::from([HERE, THERE]),
        shard: 80,
        pool: PoolConfig::default(),
    };
    let mut member = Member::new(config, now, WallMs(1_700_000_000_000));
    member.handle(now, Input::Version(1), &mut Vec::new());
    let cut = Time(2_000_000);
    let mut asked = BTreeSet::new();
    while now < cut + Duration::from_millis(600) {
        now = now + STEP;
        let mut out = Vec::new();
        for (place, dispatcher) in DISPATCHERS.into_iter().enumerate() {
            let speaks = now < cut || !case.silent.contains(&place);
            if speaks && now.0 % 100_000 == 0 {
                let beat = beat(now, dispatcher);
                member.handle(now, Input::Beat(process(dispatcher), beat), &mut out);
            }
        }
        for other in OTHERS.chain(23..=24) {
            if now < cut && now.0 % 500_000 == 0 {
                member.handle(now, Input::Beat(process(other), beat(now, other)), &mut out);
            }
        }
        member.handle(now, Input::Tick, &mut out);
        for output in out {
            if let Output::Send(to, FleetMsg::Beat(sent)) = output
                && sent.probe
                && OTHERS.contains(&to.0)
            {
                asked.insert(to.0);
                if case.answer {
                    let beat = beat(now, to.0);
                    member.handle(now, Input::Beat(process(to.0), beat), &mut Vec::new());
                }
            }
        }
    }
    let expected: BTreeSet<_> = OTHERS.filter(|_| case.asked).collect();
    assert_eq!(asked, expected);
    let alive: BTreeSet<_> = member.peers().alive(now).map(|(id, _)| id.0).collect();
    assert!(
        OTHERS.all(|other| alive.contains(&other) == case.alive),
        "{alive:?}"
    );
}
