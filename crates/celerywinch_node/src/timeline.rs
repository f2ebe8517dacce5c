//! The time line: typed events that a separate thread writes as lines of JSON.

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

/// The file is flushed when no event has come for this long.
const FLUSH_INTERVAL: Duration = Duration::from_millis(50);

/// Writes the events of one process to its time line.
#[derive(Clone, Debug)]
pub(crate) struct Timeline {
    clock: Arc<Clock>,
    process: Process,
    records: Option<Sender<TimelineRecord>>,
}

impl Timeline {
    /// Opens `file` for appending; without a file nothing is written.
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
        // The writer ends only when the disk fails; requests are served without a time line from then on.
        let _ = records.send(TimelineRecord { stamp, event });
    }
}

fn start_writer(path: &Path) -> anyhow::Result<Sender<TimelineRecord>> {
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder)
            .with_context(|| format!("time line: cannot create the folder {}", folder.display()))?;
    }
    let file = OpenOptions::new().create(true).append(true).open(path);
    let file = file.with_context(|| format!("time line: cannot open {}", path.display()))?;
    let (sender, receiver) = channel();
    let builder = thread::Builder::new().name("timeline".into());
    builder
        .spawn(move || {
            if let Err(error) = write_records(file, &receiver) {
                log::error!("timeline: Writing stopped: {error}.");
            }
        })
        .context("time line: cannot start the writer thread")?;
    Ok(sender)
}

fn write_records(file: File, records: &Receiver<TimelineRecord>) -> anyhow::Result<()> {
    let mut writer = BufWriter::new(file);
    loop {
        match records.recv_timeout(FLUSH_INTERVAL) {
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
