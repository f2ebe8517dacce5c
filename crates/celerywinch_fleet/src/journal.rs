//! Structured logs: one JSON line for each decision, to standard output.
//!
//! Lines go through a bounded channel to a thread of its own, so that a slow reader never holds up
//! a request. Each second has a budget of lines; what is left out is counted, and the count is told.

use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::Duration;

use anyhow::Context;
use celerywinch_types::{Process, Time, WallMs};
use serde::Serialize;

use crate::Clock;

/// Lines that wait for the writer; a burst of one second of the budget.
const WAITING: usize = 1024;
/// Lines a second of each kind. At about 200 bytes a line both together stay under 120 KB/s, and under
/// a hundredth of a core by the cost of formatting a line (about 3 us).
const BUDGET: u32 = 300;
/// The span of the budget.
const SPAN: Duration = Duration::from_secs(1);

/// A line.
#[derive(Serialize)]
struct Line<'a, T> {
    at: WallMs,
    instance: celerywinch_types::InstanceId,
    life: celerywinch_types::Incarnation,
    part: &'static str,
    #[serde(flatten)]
    note: &'a T,
}

/// Whether a line tells of something that goes as it should. Under load those fill their budget; what
/// explains a failure has one of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventClass {
    Routine,
    Notable,
}

/// What is left out of the logs.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum Omission {
    /// Lines that the budget or a slow reader left out.
    Omitted { lines: u64 },
}

/// Writes the lines of one process.
pub(crate) struct Journal {
    me: Process,
    clock: Clock,
    lines: SyncSender<Vec<u8>>,
    span: Time,
    written: [u32; 2],
    omitted: u64,
}

impl Journal {
    pub(crate) fn start(me: Process, clock: Clock) -> anyhow::Result<Self> {
        let (lines, receiver) = sync_channel(WAITING);
        thread::Builder::new()
            .name("journal".into())
            .stack_size(128 << 10)
            .spawn(move || write_lines(&receiver))
            .context("journal: cannot start its thread")?;
        Ok(Self {
            me,
            clock,
            lines,
            span: Time::default(),
            written: [0; 2],
            omitted: 0,
        })
    }

    /// Writes a line if the budget allows.
    pub(crate) fn write<T: Serialize>(
        &mut self,
        now: Time,
        part: &'static str,
        class: EventClass,
        note: &T,
    ) {
        if now.since(self.span) >= SPAN {
            self.span = now;
            self.written = [0; 2];
            if self.omitted > 0 {
                let lines = std::mem::take(&mut self.omitted);
                self.put("journal", &Omission::Omitted { lines });
            }
        }
        let written = &mut self.written[class as usize];
        if *written >= BUDGET {
            self.omitted += 1;
            return;
        }
        *written += 1;
        self.put(part, note);
    }

    fn put<T: Serialize>(&mut self, part: &'static str, note: &T) {
        let line = Line {
            at: self.clock.wall(),
            instance: self.me.instance,
            life: self.me.incarnation,
            part,
            note,
        };
        let Ok(mut bytes) = serde_json::to_vec(&line) else {
            self.omitted += 1;
            return;
        };
        bytes.push(b'\n');
        match self.lines.try_send(bytes) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.omitted += 1,
        }
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(first) = lines.recv() {
        let mut batch = first;
        while let Ok(more) = lines.try_recv() {
            batch.extend_from_slice(&more);
        }
        // A reader that is gone must not end the process; later lines are dropped here too.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
    }
}
