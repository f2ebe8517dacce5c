//! The thread that writes to a keeper's disk, so that the keeper answers others meanwhile.

use std::path::{Path, PathBuf};
use std::thread::{self, JoinHandle};

use anyhow::Context;
use celerywinch_store::{Disk, DiskError, Record, Snapshot, save_file};
use celerywinch_types::WorkerAnnouncement;
use crossbeam_channel::{Receiver, Sender, unbounded};

/// The file with the workers within the data folder.
pub(super) const WORKERS: &str = "workers";
/// The thread's stack, in bytes; it calls nothing deep.
const STACK: usize = 256 << 10;

/// How many of the oldest writes of the log have been synced; after an error nothing more is written.
pub(super) type Written = Result<usize, DiskError>;

/// What the thread is to write, in this order.
#[derive(Debug)]
pub(super) enum Write {
    Record(Record),
    Records(Vec<Record>),
    Snapshot(Snapshot),
    /// No write of the log; waits until there is none.
    Workers(Vec<WorkerAnnouncement>),
}

/// The thread and its queue. It ends when this is dropped.
#[derive(Debug)]
pub(super) struct Writer {
    queue: Option<Sender<Write>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread; the receiver gets what became of the log's writes.
    pub(super) fn start(disk: Disk, folder: &Path) -> anyhow::Result<(Self, Receiver<Written>)> {
        let (queue, writes) = unbounded();
        let (report, reports) = unbounded();
        let work = Work {
            disk,
            folder: folder.to_owned(),
            report,
            workers: None,
        };
        let thread = thread::Builder::new()
            .name("disk".into())
            .stack_size(STACK)
            .spawn(move || work.run(&writes))
            .context("store: cannot start the disk's thread")?;
        let writer = Self {
            queue: Some(queue),
            thread: Some(thread),
        };
        Ok((writer, reports))
    }

    pub(super) fn write(&self, write: Write) {
        if let Some(queue) = &self.queue {
            // Without a thread there is an error among the reports.
            let _ = queue.send(write);
        }
    }
}

impl Drop for Writer {
    /// Waits for the write under way: nobody else may use the folder before.
    fn drop(&mut self) {
        self.queue = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Work {
    disk: Disk,
    folder: PathBuf,
    report: Sender<Written>,
    /// Workers that are not saved yet.
    workers: Option<Vec<WorkerAnnouncement>>,
}

impl Work {
    fn run(mut self, writes: &Receiver<Write>) {
        while let Ok(first) = writes.recv() {
            if let Err(error) = self.write_all(first, writes) {
                self.tell(Err(error));
                return;
            }
            if writes.is_empty()
                && let Some(workers) = self.workers.take()
            {
                self.save_workers(&workers);
            }
        }
    }

    fn write_all(&mut self, first: Write, rest: &Receiver<Write>) -> Result<(), DiskError> {
        let mut batch = Batch::default();
        for write in std::iter::once(first).chain(rest.try_iter()) {
            match write {
                Write::Record(record) => batch.add([record]),
                Write::Records(records) => batch.add(records),
                Write::Snapshot(snapshot) => {
                    self.append(&mut batch)?;
                    self.disk.compact(&snapshot)?;
                    self.tell(Ok(1));
                }
                Write::Workers(workers) => self.workers = Some(workers),
            }
        }
        self.append(&mut batch)
    }

    /// Writes that arrived while the disk was busy share one sync.
    fn append(&mut self, batch: &mut Batch) -> Result<(), DiskError> {
        let Batch { records, writes } = std::mem::take(batch);
        if writes > 0 {
            self.disk.append(&records)?;
            self.tell(Ok(writes));
        }
        Ok(())
    }

    fn tell(&self, written: Written) {
        // The keeper's thread ends before only when the process does.
        let _ = self.report.send(written);
    }

    /// Nothing rests on the file: without it workers are known when they announce themselves.
    fn save_workers(&self, workers: &[WorkerAnnouncement]) {
        if let Err(error) = save_file(&self.folder, WORKERS, &workers) {
            log::warn!("store: The workers cannot be written: {error:#}.");
        }
    }
}

/// Records of several writes.
#[derive(Default)]
struct Batch {
    records: Vec<Record>,
    writes: usize,
}

impl Batch {
    fn add(&mut self, records: impl IntoIterator<Item = Record>) {
        self.records.extend(records);
        self.writes += 1;
    }
}
