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
use celerywinch_timeline::{EventStamp, TimelineRecord};
use celerywinch_types::Process;

use crate::Clock;

/// Lines are written through at least this often.
const FLUSH_EVERY: Duration = Duration::from_millis(50);

/// Writes the events of one process.
#[derive(Clone, Debug)]
pub(crate) struct Timeline {
    clock: Arc<Clock>,
    process: Process,
    records: Option<Sender<TimelineRecord>>,
}

impl Timeline {
    /// Appends to `file`, or writes nothing without one.
    pub(crate) fn open(
        clock: Arc<Clock>,
        process: Process,
        file: Option<&Path>,
    ) -> anyhow::Result<Self> {
        let records = file.map(start_writer).transpose()?;
        Ok(Self {
            clock,
            process,
            records,
        })
    }

    pub(crate) fn write(&self, event: Event) {
        let Some(records) = &self.records else {
            return;
        };
        let stamp = EventStamp {
            hlc: self.clock.stamp(),
            process: self.process,
        };
        // The writer ends only when the disk fails; requests go on without a time line then.
        let _ = records.send(TimelineRecord { stamp, event });
    }
}

fn start_writer(path: &Path) -> anyhow::Result<Sender<TimelineRecord>> {
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

fn write_lines(file: File, records: &Receiver<TimelineRecord>) -> anyhow::Result<()> {
    let mut writer = BufWriter::new(file);
    loop {
        match records.recv_timeout(FLUSH_EVERY) {
            Ok(record) => {
                serde_json::to_writer(&mut writer, &record)?;
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
