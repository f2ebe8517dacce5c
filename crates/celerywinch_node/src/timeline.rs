//! The time line: typed events as JSON lines, written by a thread of its own.

use std::fs::{File, OpenOptions};
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::Duration;

use anyhow::Context;
use celerywinch_entry::Event;
use celerywinch_timeline::{Line, Stamp};
use celerywinch_types::Process;

use crate::Clock;

/// Lines are written through at least this often.
const FLUSH_EVERY: Duration = Duration::from_millis(50);

/// Writes the events of one process.
#[derive(Clone, Debug)]
pub(crate) struct Timeline {
    clock: Arc<Clock>,
    at: Process,
    lines: Option<Sender<Line>>,
}

impl Timeline {
    /// Appends to `file`, or writes nothing without one.
    pub(crate) fn open(
        clock: Arc<Clock>,
        at: Process,
        file: Option<&Path>,
    ) -> anyhow::Result<Self> {
        let lines = file.map(start_writer).transpose()?;
        Ok(Self { clock, at, lines })
    }

    pub(crate) fn write(&self, event: Event) {
        let Some(lines) = &self.lines else {
            return;
        };
        let stamp = Stamp {
            hlc: self.clock.stamp(),
            at: self.at,
        };
        // The writer ends only when the disk fails; requests go on without a time line then.
        let _ = lines.send(Line { stamp, event });
    }
}

fn start_writer(path: &Path) -> anyhow::Result<Sender<Line>> {
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder)
            .with_context(|| format!("time line: cannot make the folder {}", folder.display()))?;
    }
    let file = OpenOptions::new().create(true).append(true).open(path);
    let file = file.with_context(|| format!("time line: cannot open {}", path.display()))?;
    let (sender, receiver) = channel();
    let builder = thread::Builder::new().name("timeline".into());
    builder
        .spawn(move || {
            if let Err(error) = write_lines(file, &receiver) {
                log::error!("timeline: Writing stopped: {error}.");
            }
        })
        .context("time line: cannot start its thread")?;
    Ok(sender)
}

fn write_lines(file: File, lines: &Receiver<Line>) -> anyhow::Result<()> {
    let mut writer = BufWriter::new(file);
    loop {
        match lines.recv_timeout(FLUSH_EVERY) {
            Ok(line) => {
                serde_json::to_writer(&mut writer, &line)?;
                writer.write_all(b"\n")?;
            }
            Err(RecvTimeoutError::Timeout) => writer.flush()?,
            Err(RecvTimeoutError::Disconnected) => {
                writer.flush()?;
                return Ok(());
            }
        }
    }
}
