//! The state of all connections, and the choice of those to close.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerywinch_types::Time;
use slotmap::{SlotMap, new_key_type};

use crate::{CloseReason, Limits, Listener, Timeouts};

/// The memory that a connection takes besides bodies and answers, in bytes: the parts of a head, read and write buffers,
/// its tasks, and bytes that have arrived and were not read.
const CONNECTION_BYTES: u64 = 48 << 10;
/// How long a connection that was told to end may take.
const ENDING_TIMEOUT: Duration = Duration::from_secs(2);
/// The shortest time between two reports about closed connections.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Additional time for a client to close an idle connection itself, so that it sends no request on one that is being
/// closed.
const IDLE_MARGIN: Duration = Duration::from_secs(10);

new_key_type! {
    /// The key of an open connection.
    pub struct ConnectionKey;
}

/// What the host has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Closes a connection at once. The connection is no longer counted.
    Close(ConnectionKey),
    /// Discards the incomplete body of a connection, answers that the request was not run, and closes the connection.
    Refuse(ConnectionKey, CloseReason),
}

/// What a connection does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It waits for a request, or for the client to read an answer.
    Idle,
    /// A body is arriving. The time is that of the last part.
    Body(Time),
    /// A request is being served.
    Served,
    /// It was told to end.
    Ending,
}

/// The connections that can be closed, by what they hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Ending,
    /// A body or an answer.
    Holding,
    Idle,
}

#[derive(Debug)]
struct Connection {
    listener: Listener,
    phase: Phase,
    /// When the phase began.
    since: Time,
    /// The bytes of its body or answer.
    held: u64,
}

impl Connection {
    fn rank(&self) -> Option<Rank> {
        match self.phase {
            Phase::Served => None,
            Phase::Ending => Some(Rank::Ending),
            Phase::Body(_) => Some(Rank::Holding),
            Phase::Idle if self.held > 0 => Some(Rank::Holding),
            Phase::Idle => Some(Rank::Idle),
        }
    }
}

/// The connections of a process.
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    timeouts: Timeouts,
    connections: SlotMap<ConnectionKey, Connection>,
    /// The connections that wait for their clients, those that have waited the longest first.
    waiting: BTreeMap<Rank, BTreeSet<(Time, ConnectionKey)>>,
    /// The number of connections of each listener.
    open: Vec<usize>,
    /// The bytes that all connections take.
    used: u64,
    /// What the host has to do and was not told yet.
    actions: Vec<Action>,
    closed: BTreeMap<(Listener, CloseReason), u64>,
    /// What was closed since the last report.
    unreported: BTreeMap<(Listener, CloseReason), u64>,
    reported_at: Option<Time>,
}

impl Admission {
    /// Creates a process without connections.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let open = vec![0; limits.listeners.len()];
        Self {
            limits,
            timeouts: Timeouts::default(),
            connections: SlotMap::with_key(),
            waiting: BTreeMap::new(),
            open,
            used: 0,
            actions: Vec::new(),
            closed: BTreeMap::new(),
            unreported: BTreeMap::new(),
            reported_at: None,
        }
    }

    /// Sets the timeouts from now on.
    pub fn set_timeouts(&mut self, timeouts: Timeouts) {
        self.timeouts = timeouts;
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the number of open connections of a listener.
    #[must_use]
    pub fn open_connections(&self, listener: Listener) -> usize {
        self.open[usize::from(listener.0)]
    }

    /// Returns whether any request is being served.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        let mut connections = self.connections.values();
        connections.any(|connection| connection.phase == Phase::Served)
    }

    /// Returns the bytes that all connections take.
    #[must_use]
    pub fn used_memory(&self) -> u64 {
        self.used
    }

    /// Returns the numbers of connections closed and requests refused so far.
    pub fn closed(&self) -> impl Iterator<Item = (Listener, CloseReason, u64)> + '_ {
        let closed = self.closed.iter();
        closed.map(|((listener, reason), count)| (*listener, *reason, *count))
    }

    /// Counts a connection that the host has closed for a reason of its own.
    pub fn count_closed(&mut self, listener: Listener, reason: CloseReason) {
        *self.closed.entry((listener, reason)).or_default() += 1;
        *self.unreported.entry((listener, reason)).or_default() += 1;
    }

    /// Returns a line for the log about what was closed since the last one, at most every `REPORT_INTERVAL`.
    pub fn report(&mut self, now: Time) -> Option<String> {
        let due = self
            .reported_at
            .is_none_or(|at| now.since(at) >= REPORT_INTERVAL);
        if self.unreported.is_empty() || !due {
            return None;
        }
        self.reported_at = Some(now);
        let unreported = std::mem::take(&mut self.unreported);
        let parts = unreported.into_iter().map(|((listener, reason), count)| {
            let name = self.limits.listener(listener).name;
            format!("{count} of {name} ({})", reason.label())
        });
        let parts: Vec<_> = parts.collect();
        Some(format!(
            "Closed connections or refused requests: {}.",
            parts.join(", ")
        ))
    }

    /// Returns what the host has to do since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Admits a new connection, and closes others to make room for it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room, since the requests of all other connections are being served.
    pub fn open(&mut self, now: Time, listener: Listener) -> Result<ConnectionKey, CloseReason> {
        let limit = self.limits.listener(listener).connections;
        while self.open_connections(listener) >= limit {
            let Some(key) = self.longest_waiting(Some(listener)) else {
                return Err(self.refused(listener, CloseReason::Connections));
            };
            self.evict(key, CloseReason::Connections);
        }
        while self.used + CONNECTION_BYTES > self.limits.memory {
            let Some(key) = self.longest_waiting(None) else {
                return Err(self.refused(listener, CloseReason::Memory));
            };
            self.evict(key, CloseReason::Memory);
        }
        self.used += CONNECTION_BYTES;
        self.open[usize::from(listener.0)] += 1;
        let key = self.connections.insert(Connection {
            listener,
            phase: Phase::Idle,
            since: now,
            held: 0,
        });
        self.waiting
            .entry(Rank::Idle)
            .or_default()
            .insert((now, key));
        Ok(key)
    }

    /// The head of a request has arrived. What was held for the answer before is released. Returns how long the connection
    /// has waited for the request.
    pub fn begin_request(&mut self, now: Time, key: ConnectionKey) -> Duration {
        let mut waited = Duration::ZERO;
        self.update(key, |connection| {
            waited = now.since(connection.since);
            (connection.phase, connection.since) = (Phase::Served, now);
            connection.held = 0;
        });
        waited
    }

    /// A body begins to arrive.
    pub fn begin_body(&mut self, now: Time, key: ConnectionKey) {
        self.update(key, |connection| {
            (connection.phase, connection.since) = (Phase::Body(now), now);
        });
    }

    /// A part of a body has arrived.
    pub fn progress(&mut self, now: Time, key: ConnectionKey) {
        if let Some(connection) = self.connections.get_mut(key)
            && let Phase::Body(last) = &mut connection.phase
        {
            *last = now;
        }
    }

    /// The body has arrived completely; what it takes stays held until the answer.
    pub fn end_body(&mut self, now: Time, key: ConnectionKey) {
        self.update(key, |connection| {
            (connection.phase, connection.since) = (Phase::Served, now);
        });
    }

    /// Takes memory for the body or the answer of a connection, and takes it from others to make room for it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room. The request has to be refused.
    pub fn reserve(
        &mut self,
        now: Time,
        key: ConnectionKey,
        bytes: u64,
    ) -> Result<(), CloseReason> {
        let Some(connection) = self.connections.get(key) else {
            return Err(CloseReason::Memory);
        };
        let listener = connection.listener;
        while self.used + bytes > self.limits.memory {
            let Some(other) = self.next_to_release(key) else {
                return Err(self.refused(listener, CloseReason::Memory));
            };
            self.release_memory(now, other);
        }
        self.update(key, |connection| connection.held += bytes);
        Ok(())
    }

    /// The answer of `bytes` bytes is being sent; nothing else is held any longer.
    pub fn answer(&mut self, now: Time, key: ConnectionKey, bytes: u64) {
        self.update(key, |connection| {
            if connection.phase != Phase::Ending {
                (connection.phase, connection.since) = (Phase::Idle, now);
            }
            connection.held = bytes;
        });
    }

    /// A connection is closed.
    pub fn close(&mut self, key: ConnectionKey) {
        self.remove(key);
    }

    /// Closes the connections that have waited too long for their clients.
    pub fn expire(&mut self, now: Time) {
        let Timeouts { idle, body } = self.timeouts;
        let idle_limit = idle + IDLE_MARGIN;
        let waiting = self.waiting.values().flatten();
        let expired: Vec<_> = waiting
            .filter_map(|(since, key)| {
                let age = now.since(*since);
                let reason = match self.connections[*key].phase {
                    Phase::Ending if age > ENDING_TIMEOUT => CloseReason::Idle,
                    Phase::Idle if age > idle_limit => CloseReason::Idle,
                    Phase::Body(last) if now.since(last) > idle => CloseReason::Stalled,
                    Phase::Body(_) if age > body => CloseReason::Slow,
                    Phase::Ending | Phase::Idle | Phase::Body(_) | Phase::Served => return None,
                };
                Some((*key, reason))
            })
            .collect();
        for (key, reason) in expired {
            match self.connections[key].phase {
                Phase::Body(_) => self.refuse(now, key, reason),
                Phase::Ending | Phase::Idle | Phase::Served => self.evict(key, reason),
            }
        }
    }

    /// Returns the connection that has waited for its client the longest, of one listener or of all.
    fn longest_waiting(&self, listener: Option<Listener>) -> Option<ConnectionKey> {
        let matches = |key: ConnectionKey| {
            listener.is_none_or(|listener| self.connections[key].listener == listener)
        };
        let oldest = |rank| {
            let set: Option<&BTreeSet<_>> = self.waiting.get(&rank);
            set?.iter().find(|(_, key)| matches(*key)).copied()
        };
        let open = [Rank::Holding, Rank::Idle].map(oldest);
        let oldest = oldest(Rank::Ending).or_else(|| open.into_iter().flatten().min());
        oldest.map(|(_, key)| key)
    }

    /// Returns the connection other than `key` whose memory is released first.
    fn next_to_release(&self, key: ConnectionKey) -> Option<ConnectionKey> {
        [Rank::Holding, Rank::Ending, Rank::Idle]
            .iter()
            .filter_map(|rank| self.waiting.get(rank))
            .flatten()
            .map(|(_, other)| *other)
            .find(|other| *other != key)
    }

    /// Releases what a connection that waits for its client holds.
    fn release_memory(&mut self, now: Time, key: ConnectionKey) {
        match self.connections[key].phase {
            Phase::Body(_) => self.refuse(now, key, CloseReason::Memory),
            Phase::Idle | Phase::Served | Phase::Ending => self.evict(key, CloseReason::Memory),
        }
    }

    fn refuse(&mut self, now: Time, key: ConnectionKey, reason: CloseReason) {
        let listener = self.connections[key].listener;
        self.count_closed(listener, reason);
        self.update(key, |connection| {
            (connection.phase, connection.since) = (Phase::Ending, now);
            connection.held = 0;
        });
        self.actions.push(Action::Refuse(key, reason));
    }

    fn evict(&mut self, key: ConnectionKey, reason: CloseReason) {
        if let Some(connection) = self.remove(key) {
            // A connection that was told to end is counted already.
            if connection.phase != Phase::Ending {
                self.count_closed(connection.listener, reason);
            }
        }
        self.actions.push(Action::Close(key));
    }

    fn refused(&mut self, listener: Listener, reason: CloseReason) -> CloseReason {
        self.count_closed(listener, reason);
        reason
    }

    fn remove(&mut self, key: ConnectionKey) -> Option<Connection> {
        self.update(key, |connection| connection.held = 0);
        let connection = self.connections.remove(key)?;
        if let Some(rank) = connection.rank() {
            self.waiting
                .entry(rank)
                .or_default()
                .remove(&(connection.since, key));
        }
        self.used -= CONNECTION_BYTES;
        self.open[usize::from(connection.listener.0)] -= 1;
        Some(connection)
    }

    /// Changes a connection and what is derived from it; does nothing if it is closed already.
    fn update(&mut self, key: ConnectionKey, change: impl FnOnce(&mut Connection)) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let (rank, since, held) = (connection.rank(), connection.since, connection.held);
        change(connection);
        let (new_rank, new_since) = (connection.rank(), connection.since);
        self.used = self.used - held + connection.held;
        if let Some(rank) = rank {
            self.waiting.entry(rank).or_default().remove(&(since, key));
        }
        if let Some(rank) = new_rank {
            self.waiting
                .entry(rank)
                .or_default()
                .insert((new_since, key));
        }
    }
}
