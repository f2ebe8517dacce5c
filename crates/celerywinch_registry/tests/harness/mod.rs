//! A group of one keeper, shared by the tests in this directory.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::time::Duration;

use celerywinch_registry::{Registry, RegistryOutput, Request};
use celerywinch_store::{Input, KeeperId, Output, PersistedState, RaftConfig, Role};
use celerywinch_types::{InstanceId, KeeperRequest, KeeperState, Time};

pub(crate) const ME: InstanceId = InstanceId(1);

pub(crate) fn config() -> RaftConfig {
    RaftConfig {
        me: KeeperId {
            instance: ME,
            disk: 11,
        },
        instances: vec![ME],
        bootstrap: true,
        max_voters: 3,
        heartbeat_interval: Duration::from_millis(100),
        election_timeout: Duration::from_millis(400),
        compact_after: 4,
        seed: 1,
    }
}

/// The leader of a group of one keeper, whose outputs are carried out at once.
pub(crate) struct Harness {
    pub(crate) registry: Registry,
    pub(crate) now: Time,
    pub(crate) answers: Vec<(u64, Option<KeeperState>)>,
    /// The persisted state, for restarts.
    pub(crate) disk: PersistedState,
}

impl Harness {
    pub(crate) fn new(disk: PersistedState) -> Self {
        let now = Time(10_000_000);
        let registry = Registry::new(config(), now, disk.clone()).expect("a readable disk");
        let mut harness = Self {
            registry,
            now,
            answers: Vec::new(),
            disk,
        };
        for _ in 0..10 {
            harness.now = harness.now + Duration::from_millis(100);
            let mut out = Vec::new();
            harness.registry.handle(harness.now, Input::Tick, &mut out);
            harness.carry_out(out);
        }
        assert_eq!(harness.registry.status().role, Role::Leader);
        harness
    }

    fn carry_out(&mut self, mut out: Vec<RegistryOutput>) {
        while !out.is_empty() {
            let mut writes = 0;
            for output in std::mem::take(&mut out) {
                match output {
                    RegistryOutput::Log(Output::PersistEntries(entries)) => {
                        writes += 1;
                        self.disk.entries.extend(entries);
                    }
                    RegistryOutput::Log(Output::PersistVote { term, vote }) => {
                        writes += 1;
                        self.disk.vote = (term, vote);
                    }
                    RegistryOutput::Log(Output::PersistSnapshot(snapshot)) => {
                        writes += 1;
                        let index = snapshot.index;
                        self.disk.entries.retain(|entry| entry.index > index);
                        self.disk.snapshot = snapshot;
                    }
                    RegistryOutput::Answer(_, id, state) => self.answers.push((id, state)),
                    _ => {}
                }
            }
            if writes > 0 {
                let written = Input::Synced(writes);
                self.registry.handle(self.now, written, &mut out);
            }
        }
    }

    pub(crate) fn request(&mut self, id: u64, request: KeeperRequest) {
        let request = Request {
            from: ME,
            id,
            request,
        };
        let mut out = Vec::new();
        self.registry.request(self.now, request, &mut out);
        self.carry_out(out);
    }
}
