//! Reads that share their results.

use std::cell::RefCell;
use std::rc::Rc;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};
use tokio::sync::Mutex;

/// A read that all who wait for it share.
type SharedRead<T> = Shared<LocalBoxFuture<'static, Option<Rc<T>>>>;

/// Reads a state for any number of clients, such as the configuration, of which each client would otherwise have a copy
/// under way.
///
/// One read is under way at a time. All clients that ask during it share the next one, which begins after they have asked,
/// so none gets a state from before its request.
pub struct SharedReads<T> {
    inner: Rc<Inner<T>>,
}

impl<T> Clone for SharedReads<T> {
    fn clone(&self) -> Self {
        Self {
            inner: self.inner.clone(),
        }
    }
}

struct Inner<T> {
    source: Box<dyn Fn() -> LocalBoxFuture<'static, Option<T>>>,
    /// Held by the read that is under way.
    turn: Mutex<()>,
    /// The read that has not begun.
    next: RefCell<Option<SharedRead<T>>>,
}

impl<T: 'static> SharedReads<T> {
    /// Creates reads from a source, which returns `None` if the state cannot be read.
    pub fn new<F>(source: impl Fn() -> F + 'static) -> Self
    where
        F: Future<Output = Option<T>> + 'static,
    {
        Self {
            inner: Rc::new(Inner {
                source: Box::new(move || source().boxed_local()),
                turn: Mutex::new(()),
                next: RefCell::new(None),
            }),
        }
    }

    /// Reads the state. Returns `None` if it cannot be read.
    pub async fn read(&self) -> Option<Rc<T>> {
        let read = {
            let mut next = self.inner.next.borrow_mut();
            let begin = || Inner::read(self.inner.clone());
            next.get_or_insert_with(begin).clone()
        };
        read.await
    }
}

impl<T: 'static> Inner<T> {
    fn read(self: Rc<Self>) -> SharedRead<T> {
        let read = async move {
            let _turn = self.turn.lock().await;
            self.next.take();
            (self.source)().await.map(Rc::new)
        };
        read.boxed_local().shared()
    }
}
