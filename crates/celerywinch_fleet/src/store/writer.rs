//! The thread that writes to a keeper's disk, so that the keeper can answer other processes during a write.

use std::path::{Path, PathBuf};
use std::thread::{self, JoinHandle};

use anyhow::Context;
use celerywinch_store::{Disk, DiskError, Record, Snapshot, save_file};
use celerywinch_types::WorkerAnnouncement;
use crossbeam_channel::{Receiver, Sender, unbounded};

/// File with the known workers, in the data folder.
pub(super) const WORKERS_FILE: &str = "workers";
/// Stack size of the thread, in bytes. Its calls are not deeply nested.
const STACK_SIZE: usize = 256 << 10;

/// The number of writes of the log that were synced since the last result, oldest first. After an error nothing more is
/// written.
pub(super) type WriteResult = Result<usize, DiskError>;

/// A write. The thread performs writes of the log in order.
#[derive(Debug)]
pub(super) enum Write {
    Record(Record),
    Records(Vec<Record>),
    Snapshot(Snapshot),
    /// The known workers. This is no write of the log, and waits until there is none.
    Workers(Vec<WorkerAnnouncement>),
}

/// The handle of the thread. Dropping it ends the thread.
#[derive(Debug)]
pub(super) struct Writer {
    queue: Option<Sender<Write>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread. The receiver gets the results of the log's writes.
    pub(super) fn start(
        disk: Disk,
        folder: &Path,
    ) -> anyhow::Result<(Self, Receiver<WriteResult>)> {
        let (queue, writes) = unbounded();
        let (sender, results) = unbounded();
        let worker = WriterThread {
            disk,
            folder: folder.to_owned(),
            results: sender,
            unsaved_workers: None,
        };
        let thread = thread::Builder::new()
            .name("disk".into())
            .stack_size(STACK_SIZE)
            .spawn(move || worker.run(&writes))
            .context("store: cannot start the disk's thread")?;
        let writer = Self {
            queue: Some(queue),
            thread: Some(thread),
        };
        Ok((writer, results))
    }

    pub(super) fn write(&self, write: Write) {
        if let Some(queue) = &self.queue {
            // Fails only if the thread has ended; then an error is among the results.
            let _ = queue.send(write);
        }
    }
}

impl Drop for Writer {
    /// Waits for the current write, as nothing else may use the folder before it ends.
    fn drop(&mut self) {
        self.queue = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct WriterThread {
    disk: Disk,
    folder: PathBuf,
    results: Sender<WriteResult>,
    /// The latest list of workers, if it was not saved yet.
    unsaved_workers: Option<Vec<WorkerAnnouncement>>,
}

impl WriterThread {
    fn run(mut self, writes: &Receiver<Write>) {
        while let Ok(first) = writes.recv() {
            if let Err(error) = self.write_all(first, writes) {
                self.report(Err(error));
                return;
            }
            if writes.is_empty()
                && let Some(workers) = self.unsaved_workers.take()
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
                    self.report(Ok(1));
                }
                Write::Workers(workers) => self.unsaved_workers = Some(workers),
            }
        }
        self.append(&mut batch)
    }

    /// Appends the batch with one sync, which is shared by the writes that arrived while the disk was busy.
    fn append(&mut self, batch: &mut Batch) -> Result<(), DiskError> {
        let Batch { records, writes } = std::mem::take(batch);
        if writes > 0 {
            self.disk.append(&records)?;
            self.report(Ok(writes));
        }
        Ok(())
    }

    fn report(&self, result: WriteResult) {
        // Fails only if the keeper's thread has ended, which it does only with the process.
        let _ = self.results.send(result);
    }

    /// Saves the workers. A failure is only logged: without the file, workers are known once they announce themselves.
    fn save_workers(&self, workers: &[WorkerAnnouncement]) {
        if let Err(error) = save_file(&self.folder, WORKERS_FILE, &workers) {
            log::warn!("store: Cannot write the known workers: {error:#}.");
        }
    }
}

/// The records of several writes.
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
