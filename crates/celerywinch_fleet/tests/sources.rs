//! Entries whose sources no longer have the requested version, or don't answer.

use std::time::Duration;

use celerywinch_fleet::{ConfigSync, ConfigSyncInput, ConfigSyncOutput, PeerStatus};
use celerywinch_registry::VersionedDocument;
use celerywinch_types::{ConfigMsg, DataCentreId, InstanceId, ProcessKind, Time};
use rstest::rstest;

const DC: DataCentreId = DataCentreId(0);
const ME: InstanceId = InstanceId(2);
/// Interval of heartbeats, in ms.
const HEARTBEAT_INTERVAL_MS: u64 = 100;
const TICK_MS: u64 = 10;

/// A peer that the entry can fetch from.
struct Source {
    status: PeerStatus,
    sync: ConfigSync,
    /// Time until its chunks arrive, in ms; `None` if only its heartbeats arrive.
    delay_ms: Option<u64>,
}

impl Source {
    fn new(instance: u32, kind: ProcessKind, version: u64, delay_ms: Option<u64>) -> Self {
        let instance = InstanceId(instance);
        let mut sync = ConfigSync::new(instance, kind, DC);
        let input = ConfigSyncInput::InForce(document(version));
        sync.handle(Time(1_000_000), input, &mut Vec::new());
        let status = PeerStatus {
            instance,
            kind,
            dc: DC,
            version,
        };
        Self {
            status,
            sync,
            delay_ms,
        }
    }

    fn put_in_force(&mut self, now: Time, version: u64, bytes: usize) {
        let document = vec![version as u8; bytes];
        let input = ConfigSyncInput::InForce(VersionedDocument { version, document });
        self.sync.handle(now, input, &mut Vec::new());
        self.status.version = version;
    }
}

/// Returns a document of 200 KB, which is 13 chunks.
fn document(version: u64) -> VersionedDocument {
    VersionedDocument {
        version,
        document: vec![version as u8; 200_000],
    }
}

/// An entry and the peers whose heartbeats it receives, in virtual time.
struct Entry {
    sync: ConfigSync,
    now: Time,
    sources: Vec<Source>,
    in_flight: Vec<(Time, InstanceId, ConfigMsg)>,
    completed: Vec<u64>,
}

impl Entry {
    fn new(version: u64, sources: Vec<Source>) -> Self {
        let mut entry = Self {
            sync: ConfigSync::new(ME, ProcessKind::Entry, DC),
            now: Time(10_000_000),
            sources,
            in_flight: Vec::new(),
            completed: Vec::new(),
        };
        entry.handle(ConfigSyncInput::InForce(document(version)));
        entry
    }

    fn handle(&mut self, input: ConfigSyncInput) {
        let mut out = Vec::new();
        self.sync.handle(self.now, input, &mut out);
        for output in out {
            match output {
                ConfigSyncOutput::Send(to, msg) => self.request(to, msg),
                ConfigSyncOutput::Fetched(document) => {
                    self.completed.push(document.version);
                    self.handle(ConfigSyncInput::InForce(document));
                }
                ConfigSyncOutput::SendHeartbeats(_) | ConfigSyncOutput::Event(_) => {}
            }
        }
    }

    fn request(&mut self, to: InstanceId, msg: ConfigMsg) {
        let now = self.now;
        let mut sources = self.sources.iter_mut();
        let source = sources.find(|source| source.status.instance == to);
        let Some((source, delay_ms)) =
            source.and_then(|s| s.delay_ms.map(|delay_ms| (s, delay_ms)))
        else {
            return;
        };
        let mut out = Vec::new();
        let input = ConfigSyncInput::Message(ME, msg);
        source.sync.handle(now, input, &mut out);
        for output in out {
            if let ConfigSyncOutput::Send(_, chunk) = output {
                let at = now + Duration::from_millis(delay_ms);
                self.in_flight.push((at, to, chunk));
            }
        }
    }

    fn advance(&mut self, ms: u64) {
        for step in 0..ms / TICK_MS {
            if step % (HEARTBEAT_INTERVAL_MS / TICK_MS) == 0 {
                let statuses: Vec<_> = self.sources.iter().map(|source| source.status).collect();
                statuses
                    .into_iter()
                    .for_each(|status| self.handle(ConfigSyncInput::Heartbeat(status)));
            }
            self.now = self.now + Duration::from_millis(TICK_MS);
            let now = self.now;
            let in_flight = std::mem::take(&mut self.in_flight);
            let (due, later) = in_flight.into_iter().partition(|(at, ..)| *at <= now);
            self.in_flight = later;
            let due: Vec<_> = due;
            for (_, from, msg) in due {
                self.handle(ConfigSyncInput::Message(from, msg));
            }
            self.handle(ConfigSyncInput::Tick);
        }
    }
}

/// Guards against an entry that keeps applying an outdated configuration. It receives heartbeats of some keepers that don't
/// answer its requests, and another entry sends a chunk every 300 ms over a slow link. A source that timed out ranks last for
/// 2 s, and each time-out takes 1.2 s: with three such keepers the first one ranked before the working entry again, for ever.
#[rstest]
#[case::none(0)]
#[case::two(2)]
#[case::three(3)]
#[case::six(6)]
fn working_source_is_tried_beside_unresponsive_ones(#[case] unresponsive: u32) {
    let keepers = (0..unresponsive).map(|n| Source::new(10 + n, ProcessKind::Keeper, 8, None));
    let mut sources: Vec<_> = keepers.collect();
    sources.push(Source::new(30, ProcessKind::Entry, 8, Some(300)));
    let mut entry = Entry::new(7, sources);
    entry.advance(60_000);
    assert_eq!(entry.completed, [8]);
}

/// Guards against an entry that keeps applying an outdated configuration. It has started to fetch a version from the only
/// process that has it, which is then lost or restarts with the older version on its disk. As nobody else has the version, it
/// was requested again and again, and the one below it, which all others have, was not.
#[rstest]
#[case::lost(None)]
#[case::restarted_with_an_older_version(Some(8))]
fn version_below_a_lost_one_is_fetched(#[case] restarted: Option<u64>) {
    let keeper = |version| Source::new(10, ProcessKind::Keeper, version, Some(20));
    let mut entry = Entry::new(7, vec![keeper(9)]);
    entry.advance(100);
    entry.sources.clear();
    entry.sources.extend(restarted.map(keeper));
    entry
        .sources
        .push(Source::new(11, ProcessKind::Keeper, 8, Some(20)));
    entry
        .sources
        .push(Source::new(30, ProcessKind::Entry, 8, Some(20)));
    entry.advance(10_000);
    assert_eq!(entry.completed, [8]);
}

/// Time until a chunk arrives if both ends are busy, whatever the rate of the link, in ms.
const BUSY_DELAY_MS: u64 = 130;

/// A version that is announced while another one is fetched.
struct NewerVersion {
    /// The rate of the link, in bytes per second; `None` means unlimited.
    link_rate: Option<f64>,
    /// The size of the version, in bytes.
    bytes: usize,
    /// Time within which it has to be in force, in ms.
    deadline_ms: u64,
}

/// Guards against routes that are applied after they have been removed. The entry and its source are busy, so each chunk
/// takes long, and a newer version would wait for the transfer under way.
#[rstest]
#[case::small(NewerVersion { link_rate: Some(3e6), bytes: 100, deadline_ms: 300 })]
#[case::smaller(NewerVersion { link_rate: Some(3e6), bytes: 60_000, deadline_ms: 900 })]
#[case::as_large(NewerVersion { link_rate: None, bytes: 200_000, deadline_ms: 1_500 })]
fn newer_version_is_in_force_in_time(#[case] case: NewerVersion) {
    let keeper = Source::new(10, ProcessKind::Keeper, 8, Some(BUSY_DELAY_MS));
    let mut entry = Entry::new(7, vec![keeper]);
    entry.sync = ConfigSync::new(ME, ProcessKind::Entry, DC).with_link_rate(case.link_rate);
    entry.handle(ConfigSyncInput::InForce(document(7)));
    entry.advance(BUSY_DELAY_MS * 2);
    entry.sources[0].put_in_force(entry.now, 9, case.bytes);
    entry.advance(case.deadline_ms);
    assert_eq!(entry.completed.last(), Some(&9));
}

/// Guards against versions that never come into force, as a newer one is announced while each is fetched.
#[rstest]
#[case::as_large(|_| 200_000)]
#[case::smaller_and_smaller(|n| 200_000 - n as usize * 4_000)]
#[case::large_and_small(|n| if n % 2 == 0 { 200_000 } else { 40_000 })]
fn versions_in_quick_succession_come_into_force(#[case] bytes: fn(u64) -> usize) {
    let keeper = Source::new(10, ProcessKind::Keeper, 8, Some(BUSY_DELAY_MS));
    let mut entry = Entry::new(7, vec![keeper]);
    for n in 0..40 {
        entry.sources[0].put_in_force(entry.now, 9 + n, bytes(n));
        entry.advance(250);
    }
    assert!(entry.completed.len() >= 4, "{:?}", entry.completed);
    let rising = entry.completed.windows(2).all(|pair| pair[0] < pair[1]);
    assert!(rising, "{:?}", entry.completed);
    entry.advance(3_000);
    assert_eq!(entry.completed.last(), Some(&48));
}
