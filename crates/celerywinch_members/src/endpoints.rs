//! The endpoints of a data centre, by their announcements.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use celerywinch_types::{EndpointAnnouncement, EndpointState, Renewal, Time};

/// How long an announcement is valid.
pub const LEASE: Duration = Duration::from_secs(5);

/// How often an endpoint should renew its announcement.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// How long an expired endpoint is remembered, so that a late copy of an older announcement
/// does not bring it back.
const RETENTION: Duration = Duration::from_secs(60);

/// The sender of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The endpoint itself: the announcement has to be sent on to the other entries of the data centre.
    Endpoint,
    /// Another entry, which sends it to the others by itself.
    Entry,
}

/// What is known of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointRecord {
    /// Its latest announcement.
    pub announcement: EndpointAnnouncement,
    /// When the announcement was made, on the local clock.
    pub announced_at: Time,
    /// Whether its lease has expired.
    pub expired: bool,
    /// Whether a renewal has still to be sent to the other entries.
    unsent: bool,
}

/// A change that matters to the routing of work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The endpoint is new, has a new incarnation or has changed; its announcement is to be used.
    Updated(SocketAddr),
    /// The lease of the endpoint has expired; it gets no new work.
    Gone(SocketAddr),
}

/// The endpoints of a data centre.
#[derive(Debug, Default)]
pub struct Endpoints {
    records: BTreeMap<SocketAddr, EndpointRecord>,
}

impl Endpoints {
    /// Returns what is known of an endpoint.
    #[must_use]
    pub fn get(&self, addr: SocketAddr) -> Option<&EndpointRecord> {
        self.records.get(&addr)
    }

    /// Returns all endpoints whose lease has not expired.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records.values().filter(|record| !record.expired)
    }

    /// Records an announcement from the endpoint itself or from another entry.
    ///
    /// Returns whether it is a change that the other entries of the data centre should get at once.
    /// An announcement of an earlier incarnation, or an earlier one of the same incarnation, is ignored:
    /// messages are reordered, and an older one must not bring new work to an endpoint that is leaving.
    pub fn announce(
        &mut self,
        now: Time,
        announcement: EndpointAnnouncement,
        source: Source,
        changes: &mut Vec<Change>,
    ) -> bool {
        let unsent = source == Source::Endpoint;
        let announced = now - Duration::from_millis(u64::from(announcement.age_ms));
        let addr = announcement.addr;
        let Some(record) = self.records.get_mut(&addr) else {
            changes.push(Change::Updated(addr));
            let record = EndpointRecord {
                announcement,
                announced_at: announced,
                expired: false,
                unsent,
            };
            self.records.insert(addr, record);
            return true;
        };
        if (announcement.incarnation, announcement.sequence)
            <= (
                record.announcement.incarnation,
                record.announcement.sequence,
            )
        {
            return false;
        }
        let changed = record.expired || has_changed(&record.announcement, &announcement);
        record.announcement = announcement;
        record.announced_at = announced;
        record.expired = false;
        record.unsent = unsent;
        if changed {
            changes.push(Change::Updated(addr));
        }
        changed
    }

    /// Records a renewal from another entry. Returns false if the endpoint, or its later incarnation, is not known yet.
    pub fn renew(&mut self, now: Time, renewal: Renewal, changes: &mut Vec<Change>) -> bool {
        let Some(record) = self.records.get_mut(&renewal.addr) else {
            return false;
        };
        if renewal.incarnation != record.announcement.incarnation {
            return renewal.incarnation < record.announcement.incarnation;
        }
        if renewal.sequence <= record.announcement.sequence {
            return true;
        }
        record.announcement.sequence = renewal.sequence;
        record.announced_at = now - Duration::from_millis(u64::from(renewal.age_ms));
        if record.expired {
            record.expired = false;
            changes.push(Change::Updated(renewal.addr));
        }
        true
    }

    /// Expires leases, and removes endpoints that expired long ago.
    pub fn tick(&mut self, now: Time, changes: &mut Vec<Change>) {
        for (addr, record) in &mut self.records {
            if !record.expired && now.since(record.announced_at) > LEASE {
                record.expired = true;
                changes.push(Change::Gone(*addr));
            }
        }
        self.records
            .retain(|_, record| now.since(record.announced_at) <= LEASE + RETENTION);
    }

    /// Returns the renewals that endpoints have sent since the last call, for the other entries.
    pub fn renewals(&mut self, now: Time) -> Vec<Renewal> {
        let unsent_records = self.records.values_mut().filter(|record| record.unsent);
        unsent_records
            .map(|record| {
                record.unsent = false;
                Renewal {
                    addr: record.announcement.addr,
                    incarnation: record.announcement.incarnation,
                    sequence: record.announcement.sequence,
                    age_ms: age(now, record.announced_at),
                }
            })
            .collect()
    }

    /// Returns the announcements of all endpoints whose lease has not expired, for an entry that asks for them.
    #[must_use]
    pub fn announcements(&self, now: Time) -> Vec<EndpointAnnouncement> {
        self.iter()
            .map(|record| with_current_age(record, now))
            .collect()
    }

    /// Returns the announcement of an endpoint with its current age, to be sent on.
    #[must_use]
    pub fn announcement(&self, now: Time, addr: SocketAddr) -> Option<EndpointAnnouncement> {
        self.records
            .get(&addr)
            .map(|record| with_current_age(record, now))
    }
}

fn has_changed(old: &EndpointAnnouncement, new: &EndpointAnnouncement) -> bool {
    old.incarnation != new.incarnation
        || old.state != new.state
        || old.kinds != new.kinds
        || old.slots != new.slots
        || old.connections != new.connections
        || old.rack != new.rack
}

fn with_current_age(record: &EndpointRecord, now: Time) -> EndpointAnnouncement {
    let mut announcement = record.announcement.clone();
    announcement.age_ms = age(now, record.announced_at);
    announcement
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
