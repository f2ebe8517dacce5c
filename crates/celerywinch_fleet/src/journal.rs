//! The structured log: one JSON line per event, on standard output.
//!
//! A thread of its own writes the lines, which it gets by a bounded channel, so that a slow reader never delays a request. The
//! number of lines per second is limited; omitted lines are counted, and their count is logged.

use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::Duration;

use anyhow::Context;
use celerywinch_types::{Process, Time, WallMs};
use serde::Serialize;

use crate::Clock;

/// Maximum number of lines that wait for the writer: more than the budget of one second.
const QUEUE_CAPACITY: usize = 1024;
/// Maximum number of lines per second of each class. At about 200 bytes per line both classes together stay below 120 KB/s,
/// and, at about 3 us to format a line, below 0.01 of a core.
const LINES_PER_WINDOW: u32 = 300;
/// Time after which the budget of lines is reset.
const BUDGET_WINDOW: Duration = Duration::from_secs(1);

/// A line of the log.
#[derive(Serialize)]
struct Line<'a, T> {
    at: WallMs,
    instance: celerywinch_types::InstanceId,
    #[serde(rename = "life")]
    incarnation: celerywinch_types::Incarnation,
    part: &'static str,
    #[serde(flatten)]
    event: &'a T,
}

/// The class of an event. Each class has a budget of its own, so that events that explain a failure are logged even when
/// routine ones exhaust their budget under load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventClass {
    Routine,
    Notable,
}

/// An event of the log itself.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum Omission {
    /// Lines were omitted because of the budget or a slow reader.
    Omitted { lines: u64 },
}

/// The structured log of one process.
pub(crate) struct Journal {
    me: Process,
    clock: Clock,
    lines: SyncSender<Vec<u8>>,
    window_start: Time,
    written: [u32; 2],
    omitted: u64,
}

impl Journal {
    pub(crate) fn start(me: Process, clock: Clock) -> anyhow::Result<Self> {
        let (lines, receiver) = sync_channel(QUEUE_CAPACITY);
        thread::Builder::new()
            .name("journal".into())
            .stack_size(128 << 10)
            .spawn(move || write_lines(&receiver))
            .context("journal: cannot start its thread")?;
        Ok(Self {
            me,
            clock,
            lines,
            window_start: Time::default(),
            written: [0; 2],
            omitted: 0,
        })
    }

    /// Writes an event if the budget of its class allows it.
    pub(crate) fn write<T: Serialize>(
        &mut self,
        now: Time,
        part: &'static str,
        class: EventClass,
        event: &T,
    ) {
        if now.since(self.window_start) >= BUDGET_WINDOW {
            self.window_start = now;
            self.written = [0; 2];
            if self.omitted > 0 {
                let lines = std::mem::take(&mut self.omitted);
                self.enqueue("journal", &Omission::Omitted { lines });
            }
        }
        let written = &mut self.written[class as usize];
        if *written >= LINES_PER_WINDOW {
            self.omitted += 1;
            return;
        }
        *written += 1;
        self.enqueue(part, event);
    }

    fn enqueue<T: Serialize>(&mut self, part: &'static str, event: &T) {
        let line = Line {
            at: self.clock.wall(),
            instance: self.me.instance,
            incarnation: self.me.incarnation,
            part,
            event,
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
        // A closed standard output must not end the process; later lines are lost as well.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
    }
}
