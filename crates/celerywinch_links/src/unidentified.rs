//! Incoming connections whose senders have not presented the secret yet.

use std::cell::RefCell;
use std::time::Instant;

use celerywinch_admission::{Action, Admission, CloseReason, ConnectionKey, Limits, Listener};
use celerywinch_types::Time;
use slotmap::SecondaryMap;
use tokio::sync::oneshot;

/// The only listener.
const LISTENER: Listener = Listener(0);

/// The connections, of which those that have waited the longest are closed if there are too many.
pub(crate) struct Unidentified {
    start: Instant,
    state: RefCell<State>,
}

struct State {
    admission: Admission,
    /// Dropping one closes its connection.
    open: SecondaryMap<ConnectionKey, oneshot::Sender<()>>,
}

/// A connection that was admitted. `closed` completes if it has to be closed.
pub(crate) struct Admitted {
    pub(crate) key: ConnectionKey,
    pub(crate) closed: oneshot::Receiver<()>,
}

impl Unidentified {
    pub(crate) fn new(limits: Limits) -> Self {
        Self {
            start: Instant::now(),
            state: RefCell::new(State {
                admission: Admission::new(limits),
                open: SecondaryMap::new(),
            }),
        }
    }

    /// Admits a connection. Returns it, if there is room, and the number of connections that were closed to make room.
    pub(crate) fn open(&self) -> (Option<Admitted>, usize) {
        let mut state = self.state.borrow_mut();
        let key = state.admission.open(self.now(), LISTENER);
        let actions = state.admission.take_actions();
        for action in &actions {
            let (Action::Close(other) | Action::Refuse(other, _)) = action;
            state.open.remove(*other);
        }
        let Ok(key) = key else {
            return (None, actions.len() + 1);
        };
        let (sender, closed) = oneshot::channel();
        state.open.insert(key, sender);
        (Some(Admitted { key, closed }), actions.len())
    }

    /// Counts a connection that is closed because its sender was not identified.
    pub(crate) fn count_closed(&self, reason: CloseReason) {
        let mut state = self.state.borrow_mut();
        state.admission.count_closed(LISTENER, reason);
    }

    /// Reports that the sender of a connection is identified, or that the connection has ended.
    pub(crate) fn release(&self, key: ConnectionKey) {
        let mut state = self.state.borrow_mut();
        state.admission.close(key);
        state.open.remove(key);
        if let Some(line) = state.admission.report(self.now()) {
            log::warn!("link: {line}");
        }
    }

    fn now(&self) -> Time {
        Time(0) + self.start.elapsed()
    }
}
