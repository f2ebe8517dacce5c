//! Entries whose sources have what they need no more, or do not send.

use std::time::Duration;

use celerywinch_fleet::{ConfigSync, ConfigSyncInput, ConfigSyncOutput, PeerStatus};
use celerywinch_registry::VersionedDocument;
use celerywinch_types::{ConfigMsg, DataCentreId, InstanceId, ProcessKind, Time};
use rstest::rstest;

const DC: DataCentreId = DataCentreId(0);
const ME: InstanceId = InstanceId(2);
/// Between two heartbeats, in ms.
const BEAT: u64 = 100;
const TICK: u64 = 10;

/// Another process, with its copies.
struct Source {
    status: PeerStatus,
    sync: ConfigSync,
    /// How long its pieces take, in ms; none if nothing that it sends arrives but heartbeats.
    takes: Option<u64>,
}

impl Source {
    fn new(instance: u32, kind: ProcessKind, version: u64, takes: Option<u64>) -> Self {
        let instance = InstanceId(instance);
        let mut sync = ConfigSync::new(instance, kind, DC);
        let held = ConfigSyncInput::InForce(document(version));
        sync.handle(Time(1_000_000), held, &mut Vec::new());
        let status = PeerStatus {
            instance,
            kind,
            dc: DC,
            version,
        };
        Self {
            status,
            sync,
            takes,
        }
    }

    fn hold(&mut self, now: Time, version: u64, bytes: usize) {
        let document = vec![version as u8; bytes];
        let held = ConfigSyncInput::InForce(VersionedDocument { version, document });
        self.sync.handle(now, held, &mut Vec::new());
        self.status.version = version;
    }
}

/// 200 KB: 13 pieces.
fn document(version: u64) -> VersionedDocument {
    VersionedDocument {
        version,
        document: vec![version as u8; 200_000],
    }
}

/// An entry that hears others.
struct Entry {
    sync: ConfigSync,
    now: Time,
    sources: Vec<Source>,
    coming: Vec<(Time, InstanceId, ConfigMsg)>,
    whole: Vec<u64>,
}

impl Entry {
    fn new(version: u64, sources: Vec<Source>) -> Self {
        let mut entry = Self {
            sync: ConfigSync::new(ME, ProcessKind::Entry, DC),
            now: Time(10_000_000),
            sources,
            coming: Vec::new(),
            whole: Vec::new(),
        };
        entry.take(ConfigSyncInput::InForce(document(version)));
        entry
    }

    fn take(&mut self, input: ConfigSyncInput) {
        let mut out = Vec::new();
        self.sync.handle(self.now, input, &mut out);
        for output in out {
            match output {
                ConfigSyncOutput::Send(to, msg) => self.ask(to, msg),
                ConfigSyncOutput::Fetched(held) => {
                    self.whole.push(held.version);
                    self.take(ConfigSyncInput::InForce(held));
                }
                ConfigSyncOutput::SendHeartbeats(_) | ConfigSyncOutput::Event(_) => {}
            }
        }
    }

    fn ask(&mut self, to: InstanceId, msg: ConfigMsg) {
        let now = self.now;
        let mut sources = self.sources.iter_mut();
        let source = sources.find(|source| source.status.instance == to);
        let Some((source, takes)) = source.and_then(|s| s.takes.map(|takes| (s, takes))) else {
            return;
        };
        let mut out = Vec::new();
        let input = ConfigSyncInput::Message(ME, msg);
        source.sync.handle(now, input, &mut out);
        for output in out {
            if let ConfigSyncOutput::Send(_, piece) = output {
                let at = now + Duration::from_millis(takes);
                self.coming.push((at, to, piece));
            }
        }
    }

    fn pass(&mut self, ms: u64) {
        for step in 0..ms / TICK {
            if step % (BEAT / TICK) == 0 {
                let status: Vec<_> = self.sources.iter().map(|source| source.status).collect();
                status
                    .into_iter()
                    .for_each(|status| self.take(ConfigSyncInput::Heartbeat(status)));
            }
            self.now = self.now + Duration::from_millis(TICK);
            let now = self.now;
            let coming = std::mem::take(&mut self.coming);
            let (due, later) = coming.into_iter().partition(|(at, ..)| *at <= now);
            self.coming = later;
            let due: Vec<_> = due;
            for (_, from, msg) in due {
                self.take(ConfigSyncInput::Message(from, msg));
            }
            self.take(ConfigSyncInput::Tick);
        }
    }
}

/// Callers: rules that ended long ago are still obeyed at one entry. Some keepers are heard, but what the entry asks them
/// does not arrive or is not answered; another entry sends each piece in 300 ms, on a slow link. A process that did not
/// send is asked last for 2 s, and each is waited for 1.2 s: with three of them the first one comes before the
/// entry that sends again, for ever.
#[rstest]
#[case::none(0)]
#[case::two(2)]
#[case::three(3)]
#[case::six(6)]
fn source_that_sends_is_asked_beside_mute_ones(#[case] mute: u32) {
    let keepers = (0..mute).map(|n| Source::new(10 + n, ProcessKind::Keeper, 8, None));
    let mut sources: Vec<_> = keepers.collect();
    sources.push(Source::new(30, ProcessKind::Entry, 8, Some(300)));
    let mut entry = Entry::new(7, sources);
    entry.pass(60_000);
    assert_eq!(entry.whole, [8]);
}

/// Callers: rules that ended long ago are still obeyed at one entry. It has just begun to fetch a version of the only process
/// that has it, which then is lost, or is back with what it had written to its disk before. Nobody else has the
/// version, so it is asked for again and again, and the one below it, which all others have, is not.
#[rstest]
#[case::lost(None)]
#[case::back_with_an_older_version(Some(8))]
fn version_below_one_that_is_lost_is_fetched(#[case] back: Option<u64>) {
    let keepers = |version| Source::new(10, ProcessKind::Keeper, version, Some(20));
    let mut entry = Entry::new(7, vec![keepers(9)]);
    entry.pass(100);
    entry.sources.clear();
    entry.sources.extend(back.map(keepers));
    entry
        .sources
        .push(Source::new(11, ProcessKind::Keeper, 8, Some(20)));
    entry
        .sources
        .push(Source::new(30, ProcessKind::Entry, 8, Some(20)));
    entry.pass(10_000);
    assert_eq!(entry.whole, [8]);
}

/// What a piece takes where both ends are busy, whatever the link carries, in ms.
const BUSY_MS: u64 = 130;

struct Overtaken {
    /// What the link carries, in bytes a second; none for no bound.
    link: Option<f64>,
    /// Bytes of the version that is heard of while another one is fetched.
    newer: usize,
    /// When it has to be in force, in ms after that.
    within: u64,
}

/// Guards against routes that are obeyed after they must be gone: an entry and its source are busy, so that each piece takes long,
/// and a newer version waits for the one under way.
#[rstest]
#[case::small(Overtaken { link: Some(3e6), newer: 100, within: 300 })]
#[case::smaller(Overtaken { link: Some(3e6), newer: 60_000, within: 900 })]
#[case::as_large(Overtaken { link: None, newer: 200_000, within: 1_500 })]
fn newer_version_is_in_force_in_time(#[case] case: Overtaken) {
    let keeper = Source::new(10, ProcessKind::Keeper, 8, Some(BUSY_MS));
    let mut entry = Entry::new(7, vec![keeper]);
    entry.sync = ConfigSync::new(ME, ProcessKind::Entry, DC).with_link_rate(case.link);
    entry.take(ConfigSyncInput::InForce(document(7)));
    entry.pass(BUSY_MS * 2);
    entry.sources[0].hold(entry.now, 9, case.newer);
    entry.pass(case.within);
    assert_eq!(entry.whole.last(), Some(&9));
}

/// Guards against versions that never come into force: one newer than the other is heard of while each is fetched.
#[rstest]
#[case::as_large(|_| 200_000)]
#[case::smaller_and_smaller(|n| 200_000 - n as usize * 4_000)]
#[case::large_and_small(|n| if n % 2 == 0 { 200_000 } else { 40_000 })]
fn versions_in_quick_succession_come_into_force(#[case] bytes: fn(u64) -> usize) {
    let keeper = Source::new(10, ProcessKind::Keeper, 8, Some(BUSY_MS));
    let mut entry = Entry::new(7, vec![keeper]);
    for n in 0..40 {
        entry.sources[0].hold(entry.now, 9 + n, bytes(n));
        entry.pass(250);
    }
    assert!(entry.whole.len() >= 4, "{:?}", entry.whole);
    let rising = entry.whole.windows(2).all(|pair| pair[0] < pair[1]);
    assert!(rising, "{:?}", entry.whole);
    entry.pass(3_000);
    assert_eq!(entry.whole.last(), Some(&48));
}
