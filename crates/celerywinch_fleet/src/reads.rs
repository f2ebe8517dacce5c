//! Reads of the configuration that share their results.

use std::cell::RefCell;
use std::rc::Rc;

use celerywinch_types::KeeperState;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};
use tokio::sync::Mutex;

use crate::Fleet;

/// A read that all who wait for it share.
type SharedRead = Shared<LocalBoxFuture<'static, Option<Rc<KeeperState>>>>;

/// Reads the newest configuration for any number of clients. One read is under way at a time; all clients that ask during
/// it share the next one, which begins after they have asked, so none gets an older state than it may. Otherwise each
/// client would have a copy of the document under way from the leader.
#[derive(Clone)]
pub struct ConfigReads {
    inner: Rc<Inner>,
}

struct Inner {
    fleet: Fleet,
    /// Held by the read that is under way.
    turn: Mutex<()>,
    /// The read that has not begun.
    next: RefCell<Option<SharedRead>>,
}

impl ConfigReads {
    /// Creates the reads of a process.
    #[must_use]
    pub fn new(fleet: Fleet) -> Self {
        Self {
            inner: Rc::new(Inner {
                fleet,
                turn: Mutex::new(()),
                next: RefCell::new(None),
            }),
        }
    }

    /// Reads the newest version and document. Returns `None` if the keepers did not confirm them in time.
    pub async fn read(&self) -> Option<Rc<KeeperState>> {
        let read = {
            let mut next = self.inner.next.borrow_mut();
            next.get_or_insert_with(|| Inner::read(self.inner.clone()))
                .clone()
        };
        read.await
    }
}

impl Inner {
    fn read(self: Rc<Self>) -> SharedRead {
        let read = async move {
            let _turn = self.turn.lock().await;
            self.next.take();
            self.fleet.read_config().await.map(Rc::new)
        };
        read.boxed_local().shared()
    }
}
