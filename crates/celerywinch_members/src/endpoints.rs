//! The endpoints of a data centre, as they announced themselves.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use celerywinch_types::{EndpointAnnouncement, EndpointState, Renewal, Time};

/// How long an announcement holds.
pub const LEASE: Duration = Duration::from_secs(5);

/// How often an endpoint should renew.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// How long the end of an endpoint is remembered, so that a late copy of an older announcement
/// does not bring it back.
const MEMORY: Duration = Duration::from_secs(60);

/// Who brought an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The endpoint itself: the other entries of the data centre need to hear of it.
    Endpoint,
    /// Another entry, which tells the others by itself.
    Entry,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct EndpointRecord {
    /// Its latest announcement.
    pub announcement: EndpointAnnouncement,
    /// When that was made, on our clock.
    pub announced_at: Time,
    /// Whether its lease has run out.
    pub expired: bool,
    dirty: bool,
}

/// What changed for whoever routes work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// New, or a new life, or changed: take over the announcement.
    Updated(SocketAddr),
    /// Gone: no new work.
    Gone(SocketAddr),
}

/// The endpoints of a data centre.
#[derive(Debug, Default)]
pub struct Endpoints {
    known: BTreeMap<SocketAddr, EndpointRecord>,
}

impl Endpoints {
    /// One endpoint.
    #[must_use]
    pub fn get(&self, addr: SocketAddr) -> Option<&EndpointRecord> {
        self.known.get(&addr)
    }

    /// All endpoints whose lease holds.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.known.values().filter(|known| !known.expired)
    }

    /// Takes an announcement, from the endpoint itself or from another entry.
    ///
    /// Returns whether it is news that the other entries of the data centre should get at once.
    /// An announcement of an earlier life, or an earlier one of the same life, is ignored: messages
    /// are reordered, and an endpoint that said it leaves must not be served by an older message.
    pub fn announce(
        &mut self,
        now: Time,
        note: EndpointAnnouncement,
        source: Source,
        changes: &mut Vec<Change>,
    ) -> bool {
        let dirty = source == Source::Endpoint;
        let announced = now - Duration::from_millis(u64::from(note.age_ms));
        let addr = note.addr;
        let Some(known) = self.known.get_mut(&addr) else {
            changes.push(Change::Updated(addr));
            let known = EndpointRecord {
                announcement: note,
                announced_at: announced,
                expired: false,
                dirty,
            };
            self.known.insert(addr, known);
            return true;
        };
        if (note.incarnation, note.sequence)
            <= (known.announcement.incarnation, known.announcement.sequence)
        {
            return false;
        }
        let news = known.expired || differs(&known.announcement, &note);
        known.announcement = note;
        known.announced_at = announced;
        known.expired = false;
        known.dirty = dirty;
        if news {
            changes.push(Change::Updated(addr));
        }
        news
    }

    /// Takes a renewal from another entry; false if the endpoint is not known that way.
    pub fn renew(&mut self, now: Time, renewal: Renewal, changes: &mut Vec<Change>) -> bool {
        let Some(known) = self.known.get_mut(&renewal.addr) else {
            return false;
        };
        if renewal.incarnation != known.announcement.incarnation {
            return renewal.incarnation < known.announcement.incarnation;
        }
        if renewal.sequence <= known.announcement.sequence {
            return true;
        }
        known.announcement.sequence = renewal.sequence;
        known.announced_at = now - Duration::from_millis(u64::from(renewal.age_ms));
        if known.expired {
            known.expired = false;
            changes.push(Change::Updated(renewal.addr));
        }
        true
    }

    /// Lets leases run out.
    pub fn tick(&mut self, now: Time, changes: &mut Vec<Change>) {
        for (addr, known) in &mut self.known {
            if !known.expired && now.since(known.announced_at) > LEASE {
                known.expired = true;
                changes.push(Change::Gone(*addr));
            }
        }
        self.known
            .retain(|_, known| now.since(known.announced_at) <= LEASE + MEMORY);
    }

    /// The renewals taken since the last call, to be passed to the other entries.
    pub fn renewals(&mut self, now: Time) -> Vec<Renewal> {
        let fresh = self.known.values_mut().filter(|known| known.dirty);
        fresh
            .map(|known| {
                known.dirty = false;
                Renewal {
                    addr: known.announcement.addr,
                    incarnation: known.announcement.incarnation,
                    sequence: known.announcement.sequence,
                    age_ms: age(now, known.announced_at),
                }
            })
            .collect()
    }

    /// Everything known, for an entry that asks.
    #[must_use]
    pub fn announcements(&self, now: Time) -> Vec<EndpointAnnouncement> {
        self.iter().map(|known| aged(known, now)).collect()
    }

    /// One announcement with its present age, to be passed on.
    #[must_use]
    pub fn announcement(&self, now: Time, addr: SocketAddr) -> Option<EndpointAnnouncement> {
        self.known.get(&addr).map(|known| aged(known, now))
    }
}

fn differs(old: &EndpointAnnouncement, new: &EndpointAnnouncement) -> bool {
    old.incarnation != new.incarnation
        || old.state != new.state
        || old.kinds != new.kinds
        || old.slots != new.slots
        || old.connections != new.connections
        || old.rack != new.rack
}

fn aged(known: &EndpointRecord, now: Time) -> EndpointAnnouncement {
    let mut note = known.announcement.clone();
    note.age_ms = age(now, known.announced_at);
    note
}

fn age(now: Time, announced: Time) -> u32 {
    u32::try_from(now.since(announced).as_millis()).unwrap_or(u32::MAX)
}

impl EndpointRecord {
    /// Whether the endpoint takes new work.
    #[must_use]
    pub fn serves(&self) -> bool {
        !self.expired && self.announcement.state == EndpointState::Serving
    }
}
