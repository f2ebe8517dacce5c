//! Heartbeats, and what they tell of dispatchers.

use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_origin::{Holder, Input as OriginInput};
use celerywinch_pool::{Grant, Input as PoolInput};
use celerywinch_types::{
    Beat, Domain, Echo, Fence, FleetMsg, Holding, InstanceId, Part, Process, Time,
};

use crate::member::{Member, Output};

/// Between two heartbeats.
const BEAT: Duration = Duration::from_millis(100);
/// Between two heartbeats of a process that dispatches: the others choose by the room it tells of.
const HOLDER_BEAT: Duration = Duration::from_millis(50);
/// Up to so many processes all hear each other that often. With more, those of which neither
/// dispatches do so less often: 40 processes would spend a fifth of a small machine on heartbeats.
const FEW: usize = 16;
const SLOW_BEAT: Duration = Duration::from_millis(500);
/// A process that was not heard for this long counts as lost. Three heartbeats and a half: one may
/// be late and one lost with its connection.
const ALIVE: Duration = Duration::from_millis(350);
const SLOW_ALIVE: Duration = Duration::from_millis(1_750);
/// A dispatcher may start tasks of an origin for this long after it sent what the origin has heard of it. The
/// origin takes it for lost `ALIVE` after that at the earliest, or at once where connections are refused. Then
/// 1,450 ms pass before the tasks are started elsewhere, of which the longest lease and its errors
/// (931 ms) must be left. In ordinary service heartbeats of both sides lie between, 200 ms. A grant also ends
/// `ALIVE` after the last heartbeat: a caller whose connection breaks as its entry is cut off sends its job to another
/// one after 1,300 ms, and what was started here must be over by then (350 + 931 ms).
const GRANT: Duration = Duration::from_millis(500);
/// Between two messages to one entry with what a dispatcher has learned; it changes by a few percent meanwhile.
const TEACH: Duration = Duration::from_secs(1);
/// At most one entry in so many is told at once, also after a pause; ticks are 10 to 40 ms apart.
const TEACH_PARTS: usize = 20;

impl Member {
    /// Who dispatches for what, by the highest fencing token that is heard.
    pub(crate) fn update_holders(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.config.part != Part::Entry {
            return;
        }
        let mut best: BTreeMap<Domain, (InstanceId, Holding)> = BTreeMap::new();
        let mut add = |instance: InstanceId, holding: Holding| {
            let known = best.get(&holding.domain);
            if known.is_none_or(|(_, other)| other.fence < holding.fence) {
                best.insert(holding.domain, (instance, holding));
            }
        };
        for holding in &self.holdings {
            add(self.config.me.instance, *holding);
        }
        for (instance, view) in self.peers.alive(now) {
            for holding in &view.beat.holdings {
                add(instance, *holding);
            }
        }
        let holders = best
            .into_iter()
            .map(|(domain, (instance, holding))| Holder {
                domain,
                instance,
                load: holding.load,
            });
        let input = OriginInput::Holders(holders.collect());
        self.origin_input(now, input, out);
    }

    /// Measures the room of what it dispatches for; once a tick, for it takes a look at each worker.
    pub(crate) fn measure(&mut self, now: Time) {
        let held = self.domains.held().iter();
        let holding = |(domain, fence): (&Domain, &Fence)| Holding {
            domain: *domain,
            fence: *fence,
            load: self.pool.load(now, *domain),
        };
        self.holdings = held.map(holding).collect();
    }

    /// What this process tells another one of itself.
    #[must_use]
    pub fn beat_for(&self, now: Time, peer: InstanceId) -> Beat {
        let view = self.peers.get(peer).filter(|view| view.alive(now));
        let echo = view.map(|view| Echo {
            life: view.process.incarnation,
            sent: view.beat.sent,
            session: self.origin.session(peer),
        });
        Beat {
            part: self.config.part,
            dc: self.config.dc,
            stage: self.stage,
            holdings: self.holdings.clone(),
            fence: self.domains.top(),
            version: self.version,
            shards: self.domains.shards(),
            sent: now,
            echo,
        }
    }

    /// The sender of a heartbeat heard this process at a moment that is known here by its own clock: it
    /// does not take it for lost before [`GRANT`] is over, and until then its tasks may be started.
    pub(crate) fn take_echo(
        &mut self,
        now: Time,
        from: Process,
        echo: Option<Echo>,
        out: &mut Vec<Output>,
    ) {
        let own = |echo: &Echo| echo.life == self.config.me.incarnation;
        if let Some(echo) = echo.filter(own) {
            let grant = Grant {
                life: from.incarnation,
                session: echo.session,
                until: (echo.sent + GRANT).min(now + ALIVE),
            };
            self.pool_input(now, PoolInput::Granted(from.instance, grant), out);
        }
    }

    /// How long the next heartbeat of a process is waited for.
    pub(crate) fn window(&self, beat: &Beat) -> Duration {
        if self.is_close(beat) {
            ALIVE
        } else {
            SLOW_ALIVE
        }
    }

    /// Whether this process and another hear each other often: work goes between them, or they are
    /// few.
    fn is_close(&self, beat: &Beat) -> bool {
        let dispatch = !beat.holdings.is_empty() || !self.domains.held().is_empty();
        dispatch || self.peers.count() <= FEW
    }

    pub(crate) fn beat_if_due(&mut self, now: Time, out: &mut Vec<Output>) {
        let few = self.peers.count() <= FEW;
        let often = few && !self.domains.held().is_empty();
        let interval = if often { HOLDER_BEAT } else { BEAT };
        if now.since(self.beaten) < interval {
            return;
        }
        self.beaten = now;
        let slow = now.since(self.beaten_all) >= SLOW_BEAT;
        if slow {
            self.beaten_all = now;
        }
        for (peer, view) in self.peers.all() {
            if slow || self.is_close(&view.beat) {
                self.send_beat(now, peer, out);
            }
        }
    }

    /// Tells all at once what has changed.
    pub(crate) fn send_beats(&mut self, now: Time, out: &mut Vec<Output>) {
        self.beaten = now;
        self.beaten_all = now;
        for (peer, _) in self.peers.all() {
            self.send_beat(now, peer, out);
        }
    }

    pub(crate) fn send_beat(&self, now: Time, to: InstanceId, out: &mut Vec<Output>) {
        let beat = self.beat_for(now, to);
        out.push(Output::Send(to, FleetMsg::Beat(beat)));
    }

    /// Tells the other entries what a successor needs to know, one after the other. All at once would be 200 KB with 27
    /// of them and 350 workers: 70 ms of a link of 25 Mbit/s, in front of heartbeats and of orders to workers, whose
    /// answers would be taken for missing.
    pub(crate) fn spread_learned(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.domains.held().is_empty() {
            self.taught.0 = now;
            return;
        }
        let alive = self.peers.alive(now);
        let entries = alive.filter(|(_, view)| view.beat.part == Part::Entry);
        let mut entries: Vec<_> = entries.map(|(entry, _)| entry).collect();
        let (at, last) = self.taught;
        let due = now.since(at).as_micros() * entries.len() as u128 / TEACH.as_micros();
        let most = entries.len().div_ceil(TEACH_PARTS);
        let due = usize::try_from(due).unwrap_or(most).min(most);
        if due == 0 {
            return;
        }
        let next = entries.partition_point(|entry| *entry <= last);
        entries.rotate_left(next);
        entries.truncate(due);
        let learned = self.pool.learned();
        for entry in entries {
            self.taught = (now, entry);
            out.push(Output::Send(entry, FleetMsg::Learned(learned.clone())));
        }
    }
}
