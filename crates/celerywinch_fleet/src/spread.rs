//! How the configuration spreads from the keepers to the entries.

use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_registry::Held;
use celerywinch_types::{DataCentreId, InstanceId, Part, SpreadMsg, Time};

/// The same process is asked for the configuration again after this time.
const ASK_AGAIN: Duration = Duration::from_millis(250);
/// A process that was not heard for this long is sent nothing; the window of slow heartbeats.
const HEARD: Duration = Duration::from_millis(1_750);

/// What a heartbeat tells of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    /// The sender.
    pub instance: InstanceId,
    /// What it does.
    pub part: Part,
    /// Its data centre.
    pub dc: DataCentreId,
    /// The version that it has in force.
    pub version: u64,
}

/// What happened outside.
#[derive(Clone, Debug)]
pub enum SpreadInput {
    /// A heartbeat.
    Heard(Told),
    /// A message of another process.
    Message(InstanceId, SpreadMsg),
    /// This document is in force here.
    Held(Held),
    /// Time passed.
    Tick,
}

/// What the host is to do.
#[derive(Clone, Debug)]
pub enum SpreadOutput {
    /// Send a message.
    Send(InstanceId, SpreadMsg),
    /// A document has come: read it, and put it in force.
    Whole(Held),
}

/// What this process has of the configuration, and what it knows of the others.
#[derive(Debug)]
pub struct Spread {
    me: InstanceId,
    part: Part,
    held: Held,
    heard: BTreeMap<InstanceId, (Told, Time)>,
    asked: BTreeMap<InstanceId, Time>,
}

impl Spread {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(me: InstanceId, part: Part, _dc: DataCentreId) -> Self {
        Self {
            me,
            part,
            held: Held::default(),
            heard: BTreeMap::new(),
            asked: BTreeMap::new(),
        }
    }

    /// The version in force; 0 if none is.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.held.version
    }

    /// Takes an input and appends what the host is to do.
    pub fn handle(&mut self, now: Time, input: SpreadInput, out: &mut Vec<SpreadOutput>) {
        match input {
            SpreadInput::Heard(told) => self.heard(now, told, out),
            SpreadInput::Message(from, SpreadMsg::Want) => self.send(from, out),
            SpreadInput::Message(_, SpreadMsg::Document { version, document }) => {
                if version > self.held.version {
                    out.push(SpreadOutput::Whole(Held { version, document }));
                }
            }
            SpreadInput::Held(held) => self.hold(now, held, out),
            SpreadInput::Tick => {}
        }
    }

    /// Asks a process for its configuration if it has a newer one.
    fn heard(&mut self, now: Time, told: Told, out: &mut Vec<SpreadOutput>) {
        self.heard.insert(told.instance, (told, now));
        if self.part == Part::Keeper || told.version <= self.held.version {
            return;
        }
        let asked = self.asked.get(&told.instance);
        if asked.is_some_and(|at| now.since(*at) < ASK_AGAIN) {
            return;
        }
        self.asked.insert(told.instance, now);
        out.push(SpreadOutput::Send(told.instance, SpreadMsg::Want));
    }

    fn hold(&mut self, now: Time, held: Held, out: &mut Vec<SpreadOutput>) {
        self.held = held;
        if self.part == Part::Entry {
            return;
        }
        let heard = self.heard.values();
        let heard = heard.filter(|(_, at)| now.since(*at) <= HEARD);
        let entries = heard.filter(|(told, _)| told.part == Part::Entry);
        for (entry, _) in entries {
            self.send(entry.instance, out);
        }
    }

    fn send(&self, to: InstanceId, out: &mut Vec<SpreadOutput>) {
        if self.held.version == 0 || to == self.me {
            return;
        }
        let msg = SpreadMsg::Document {
            version: self.held.version,
            document: self.held.document.clone(),
        };
        out.push(SpreadOutput::Send(to, msg));
    }
}
