//! Reads that share their results.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use celerywinch_fleet::SharedReads;
use futures_util::future::{join, join_all};
use tokio::time::{sleep, timeout};

/// How long a read takes.
const READ_TIME: Duration = Duration::from_millis(20);

/// Returns reads of their own number, and the number of reads so far.
fn numbered_reads() -> (SharedReads<u32>, Rc<Cell<u32>>) {
    let count = Rc::new(Cell::new(0));
    let counted = count.clone();
    let reads = SharedReads::new(move || {
        counted.set(counted.get() + 1);
        let number = counted.get();
        async move {
            sleep(READ_TIME).await;
            Some(number)
        }
    });
    (reads, count)
}

fn run(test: impl Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().build().expect("a runtime");
    runtime.block_on(test);
}

/// Guards against a copy of the configuration for each client that reads it at the same time, and against an answer from
/// before the request.
#[test]
fn clients_that_ask_during_a_read_share_the_next_one() {
    run(async {
        let (reads, count) = numbered_reads();
        let first = async { reads.read().await };
        let others = async {
            sleep(READ_TIME / 2).await;
            join_all((0..100).map(|_| reads.read())).await
        };
        let (first, others) = join(first, others).await;
        assert_eq!(first.as_deref(), Some(&1));
        assert!(others.iter().all(|read| read.as_deref() == Some(&2)));
        assert_eq!(count.get(), 2);
    });
}

/// Guards against reads that wait for ever because the client that began one has left.
#[test]
fn a_client_that_leaves_does_not_stop_the_others() {
    run(async {
        let (reads, _) = numbered_reads();
        let left = timeout(READ_TIME / 2, reads.read());
        let (left, other) = join(left, reads.read()).await;
        assert!(left.is_err());
        assert_eq!(other.as_deref(), Some(&2));
        assert!(timeout(READ_TIME / 2, reads.read()).await.is_err());
        assert!(reads.read().await.is_some());
    });
}
