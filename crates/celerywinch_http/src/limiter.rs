//! The connections of all servers on a thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::future::poll_fn;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use celerywinch_admission::{
    Action, Admission, CloseReason, ConnectionKey, Limits, Listener, ListenerLimit, Timeouts,
};
use celerywinch_types::Time;
use ntex::http::{Payload, Request, header};
use ntex::io::IoRef;
use slotmap::SecondaryMap;

use crate::HttpLimits;
use crate::body::{Body, BodyError, Partial};

/// The interval between checks for connections that have waited too long for their clients.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The time from an answer to the next request of a client that reads the answer first, at least.
const MIN_REQUEST_GAP: Duration = Duration::from_micros(100);
/// The largest number of closed connections that have not ended while others are accepted.
const MAX_LINGERING: usize = 8;
/// How often, and with which pause, it is checked whether closed connections have ended.
const MAX_SETTLE_ROUNDS: usize = 2_000;
const SETTLE_PAUSE: Duration = Duration::from_millis(1);

/// Where the numbers of a limiter are published, every second.
pub trait LimiterMetrics: 'static {
    /// The number of open connections of a listener, and its limit.
    fn connections(&self, limit: &ListenerLimit, open: usize);

    /// The memory that all connections take, and its limit, in bytes.
    fn memory(&self, used: u64, limit: u64);

    /// The number of connections closed and requests refused since the last call.
    fn closed(&self, reason: CloseReason, count: u64);
}

/// The connections of all servers on a thread. All clones share them.
#[derive(Clone)]
pub struct Limiter {
    inner: Rc<Inner>,
}

struct Inner {
    start: Instant,
    http: Cell<HttpLimits>,
    /// The number of connections that were closed and still have their descriptors.
    lingering: Cell<usize>,
    state: RefCell<State>,
}

struct State {
    admission: Admission,
    streams: SecondaryMap<ConnectionKey, Stream>,
    keys: HashMap<IoRef, ConnectionKey>,
    bodies: SecondaryMap<ConnectionKey, Partial>,
    /// The closed connections that were published.
    published: BTreeMap<(Listener, CloseReason), u64>,
}

/// A connection as the server and as the operating system know it.
struct Stream {
    io: IoRef,
    /// A second descriptor of the socket. The server keeps a connection that it ends for as long as the client reads
    /// nothing; shutting the socket down ends that.
    socket: TcpStream,
}

impl Stream {
    fn close(&self) {
        self.io.terminate();
        if let Err(error) = self.socket.shutdown(Shutdown::Both) {
            log::debug!("http: Cannot shut down a connection: {error}.");
        }
    }
}

impl State {
    /// Returns the number of connections that are being closed.
    fn carry_out(&mut self) -> usize {
        let mut closing = 0;
        for action in self.admission.take_actions() {
            match action {
                Action::Close(key) => {
                    self.bodies.remove(key);
                    if let Some(stream) = self.streams.remove(key) {
                        self.keys.remove(&stream.io);
                        stream.close();
                        closing += 1;
                    }
                }
                Action::Refuse(key, reason) => {
                    if let Some(body) = self.bodies.get_mut(key) {
                        body.refuse(reason);
                    }
                }
            }
        }
        closing
    }

    /// Returns whether the connection was still admitted.
    fn forget(&mut self, key: ConnectionKey) -> bool {
        self.admission.close(key);
        self.bodies.remove(key);
        let Some(stream) = self.streams.remove(key) else {
            return false;
        };
        self.keys.remove(&stream.io);
        // What the client has not read by now would keep the descriptor.
        stream.close();
        true
    }
}

impl Limiter {
    /// Creates a limiter without connections.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let state = State {
            admission: Admission::new(limits),
            streams: SecondaryMap::new(),
            keys: HashMap::new(),
            bodies: SecondaryMap::new(),
            published: BTreeMap::new(),
        };
        Self {
            inner: Rc::new(Inner {
                start: Instant::now(),
                http: Cell::default(),
                lingering: Cell::new(0),
                state: RefCell::new(state),
            }),
        }
    }

    /// Closes connections that have waited too long, and publishes the numbers, until the process ends. `limits` returns
    /// the limits in force, and is called every second.
    pub async fn run(self, limits: impl Fn() -> HttpLimits, metrics: impl LimiterMetrics) {
        loop {
            self.set_limits(limits());
            self.check(&metrics);
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Returns the limits on requests in force.
    pub(crate) fn http_limits(&self) -> HttpLimits {
        self.inner.http.get()
    }

    fn set_limits(&self, limits: HttpLimits) {
        self.inner.http.set(limits);
        let timeouts = Timeouts {
            idle: limits.idle_timeout,
            ..Timeouts::default()
        };
        let mut state = self.inner.state.borrow_mut();
        state.admission.set_timeouts(timeouts);
    }

    fn check(&self, metrics: &impl LimiterMetrics) {
        self.with(|state, now| state.admission.expire(now));
        let now = self.now();
        let mut state = self.inner.state.borrow_mut();
        let closed: Vec<_> = state.admission.closed().collect();
        for (listener, reason, count) in closed {
            let published = state.published.entry((listener, reason)).or_default();
            let added = count - std::mem::replace(published, count);
            metrics.closed(reason, added);
        }
        let listeners = state.admission.limits().listeners().iter().zip(0..);
        for (limit, index) in listeners {
            let open = state.admission.open_connections(Listener(index));
            metrics.connections(limit, open);
        }
        let limit = state.admission.limits().memory();
        metrics.memory(state.admission.used_memory(), limit);
        if let Some(line) = state.admission.report(now) {
            log::warn!("http: {line}");
        }
    }

    /// Returns the number of open connections of a listener.
    #[must_use]
    pub fn open_connections(&self, listener: Listener) -> usize {
        let state = self.inner.state.borrow();
        state.admission.open_connections(listener)
    }

    /// Returns whether any request is being served.
    pub(crate) fn is_serving(&self) -> bool {
        self.inner.state.borrow().admission.is_serving()
    }

    /// Admits a connection. Returns `None` if it has to be closed.
    pub(crate) fn open(
        &self,
        listener: Listener,
        io: IoRef,
        socket: TcpStream,
    ) -> Option<ConnectionKey> {
        // The key may reuse the slot of a connection that is closed for this one.
        let opened = self.with(|state, now| state.admission.open(now, listener));
        let key = opened.ok()?;
        self.with(|state, _| {
            state.keys.insert(io.clone(), key);
            state.streams.insert(key, Stream { io, socket });
        });
        Some(key)
    }

    /// Reports that a connection has ended.
    pub(crate) fn close(&self, key: ConnectionKey) {
        let admitted = self.inner.state.borrow_mut().forget(key);
        if !admitted {
            self.inner.lingering.update(|count| count - 1);
        }
    }

    /// Waits until most connections that were closed have ended, so that no more are accepted than the descriptors allow.
    pub(crate) async fn settle(&self) {
        for _ in 0..MAX_SETTLE_ROUNDS {
            if self.inner.lingering.get() <= MAX_LINGERING {
                return;
            }
            tokio::time::sleep(SETTLE_PAUSE).await;
        }
    }

    /// Counts a connection that is closed because its head did not arrive in time.
    pub(crate) fn count_closed(&self, listener: Listener, reason: CloseReason) {
        let mut state = self.inner.state.borrow_mut();
        state.admission.count_closed(listener, reason);
    }

    /// Begins to serve a request. Returns `None` if its connection was closed in the meantime.
    #[must_use]
    pub(crate) fn begin_request(&self, request: &Request) -> Option<RequestHandle> {
        let now = self.now();
        let mut state = self.inner.state.borrow_mut();
        let key = *state.keys.get(request.io()?)?;
        let waited = state.admission.begin_request(now, key);
        Some(RequestHandle {
            limiter: self.clone(),
            key,
            pipelined: waited < MIN_REQUEST_GAP,
        })
    }

    fn now(&self) -> Time {
        Time(0) + self.inner.start.elapsed()
    }

    /// Changes the state, and carries out what follows from that.
    fn with<T>(&self, change: impl FnOnce(&mut State, Time) -> T) -> T {
        let mut state = self.inner.state.borrow_mut();
        let result = change(&mut state, self.now());
        let closing = state.carry_out();
        self.inner.lingering.update(|count| count + closing);
        result
    }
}

/// A request that is being served.
#[derive(Clone)]
pub struct RequestHandle {
    limiter: Limiter,
    key: ConnectionKey,
    pipelined: bool,
}

impl RequestHandle {
    /// Lets the requests of other connections go first if the client did not wait for its last answer.
    pub(crate) async fn wait_for_turn(&self) {
        if self.pipelined {
            tokio::task::yield_now().await;
        }
    }

    /// Reads a body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too large or incomplete, or the memory that it takes is needed by others.
    pub async fn read_body(&self, request: &mut Request, limit: usize) -> Result<Body, BodyError> {
        if content_length(request).is_some_and(|length| length > limit as u64) {
            return Err(BodyError::TooLarge);
        }
        let payload = request.take_payload();
        self.read_payload(payload, limit).await
    }

    /// Reads a body of at most `limit` bytes, of which no length is known.
    ///
    /// # Errors
    ///
    /// As [`Self::read_body`].
    pub async fn read_payload(
        &self,
        mut payload: Payload,
        limit: usize,
    ) -> Result<Body, BodyError> {
        self.limiter.with(|state, now| {
            state.admission.begin_body(now, self.key);
            state.bodies.insert(self.key, Partial::default());
        });
        let result = self.receive(&mut payload, limit).await;
        self.limiter.with(|state, now| {
            let body = state.bodies.remove(self.key).unwrap_or_default();
            if result.is_ok() {
                state.admission.end_body(now, self.key);
            }
            result.map(|()| body.bytes)
        })
    }

    /// Receives all parts of a body.
    async fn receive(&self, payload: &mut Payload, limit: usize) -> Result<(), BodyError> {
        loop {
            let part = poll_fn(|cx| {
                if let Some(reason) = self.limiter.with(|state, _| self.refusal(state)) {
                    return Poll::Ready(Err(BodyError::Refused(reason)));
                }
                let part = payload.poll_recv(cx);
                if part.is_pending() {
                    self.limiter.with(|state, _| self.await_part(state, cx));
                }
                part.map(Ok)
            });
            match part.await? {
                Some(Ok(part)) => self
                    .limiter
                    .with(|state, now| self.append(state, now, &part, limit))?,
                Some(Err(_)) => return Err(BodyError::Incomplete),
                None => return Ok(()),
            }
        }
    }

    /// Returns why the body was discarded, if it was.
    fn refusal(&self, state: &State) -> Option<CloseReason> {
        // There is none if the connection was closed to make room.
        let body = state.bodies.get(self.key);
        body.map_or(Some(CloseReason::Memory), |body| body.refused)
    }

    /// Makes a refusal wake the task that receives the body.
    fn await_part(&self, state: &mut State, cx: &Context<'_>) {
        if let Some(body) = state.bodies.get_mut(self.key) {
            body.waker = Some(cx.waker().clone());
        }
    }

    fn append(
        &self,
        state: &mut State,
        now: Time,
        part: &[u8],
        limit: usize,
    ) -> Result<(), BodyError> {
        let body = state.bodies.get(self.key);
        let body = body.ok_or(BodyError::Refused(CloseReason::Memory))?;
        if body.bytes.len() + part.len() > limit {
            return Err(BodyError::TooLarge);
        }
        let growth = body.growth(part.len(), limit);
        state.admission.progress(now, self.key);
        if growth > 0 {
            let taken = state.admission.reserve(now, self.key, growth as u64);
            taken.map_err(BodyError::Refused)?;
        }
        if let Some(body) = state.bodies.get_mut(self.key) {
            body.append(part, growth);
        }
        Ok(())
    }

    /// Reserves memory until the request is answered.
    ///
    /// # Errors
    ///
    /// Returns an error if there is too little. The request has to be refused.
    pub fn reserve(&self, bytes: usize) -> Result<(), CloseReason> {
        self.limiter
            .with(|state, now| state.admission.reserve(now, self.key, bytes as u64))
    }

    /// Reports that an answer with a body of `bytes` bytes is being sent.
    pub(crate) fn answer(&self, bytes: usize) {
        self.limiter
            .with(|state, now| state.admission.answer(now, self.key, bytes as u64));
    }
}

fn content_length(request: &Request) -> Option<u64> {
    let value = request.headers().get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}
