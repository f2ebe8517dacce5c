//! Start and stop of the parts of a process.

use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use anyhow::Context;
use arc_swap::ArcSwap;
use celerywinch_catalogue::{Catalogue, Document};
use celerywinch_dispatch::Policy;
use celerywinch_entry::{ConfigBuilder, Entry, Input};
use celerywinch_links::listen;
use celerywinch_settings::{Settings, load_catalogue};
use celerywinch_types::{InstanceId, Process};
use ntex::rt::Arbiter;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;

use crate::calls::Calls;
use crate::core::Core;
use crate::links::{LinkContext, Links};
use crate::metrics::Metrics;
use crate::servers::{Server, Surface};
use crate::shared::{CoreMsg, ListenAddrs, Shared};
use crate::store::{self, StoreInput, StoreOptions};
use crate::timeline::Timeline;
use crate::{Clock, incarnation};

/// Margin for the resolution of the creation times in keys.
const KEY_TIME_MARGIN: Duration = Duration::from_millis(2);

/// Values that replace those of the settings, for tests and benchmarks.
#[derive(Debug, Default)]
pub struct NodeOptions {
    /// The listener for other instances; by default, one is bound to the address in the settings.
    pub peer_listener: Option<TcpListener>,
    /// The first catalogue; by default, it is read from the file named in the settings.
    pub first_catalogue: Option<Document>,
    /// The policy that selects endpoints; any other than the default is only a baseline for measurements.
    pub policy: Policy,
}

/// A running process of an instance.
pub struct Node {
    listen_addrs: ListenAddrs,
    core: UnboundedSender<CoreMsg>,
    drained: oneshot::Receiver<()>,
    servers: Vec<Server>,
}

impl Node {
    /// Starts all parts of a process; must be called within an `ntex` system.
    ///
    /// # Errors
    ///
    /// An address cannot be bound or a file cannot be used; the error names it.
    pub async fn start(settings: Settings, options: NodeOptions) -> anyhow::Result<Self> {
        let clock = Arc::new(Clock::default());
        let me = Process {
            instance: settings.me.id,
            incarnation: incarnation::next(settings.data_folder.as_deref(), Clock::wall())?,
        };
        let timeline = Timeline::open(clock.clone(), me, settings.timeline_file.as_deref())?;
        let metrics = Metrics::new().context("metrics: cannot register the metrics")?;
        let listener = match options.peer_listener {
            Some(listener) => listener,
            None => bind("peers", settings.me.peer_addr)?,
        };
        let callers = bind_http("callers", settings.callers)?;
        let endpoints = bind_http("endpoints", settings.endpoints)?;
        let operators = bind_http("operators", settings.operators)?;
        let listen_addrs = ListenAddrs {
            callers: callers.local_addr()?,
            endpoints: endpoints.local_addr()?,
            operators: operators.local_addr()?,
        };
        let (core, inbox) = unbounded_channel();
        let (store, store_inbox) = channel();
        let shared = Arc::new(Shared {
            me,
            catalogue: ArcSwap::default(),
            metrics: metrics.clone(),
            core: core.clone(),
            store,
            catalogue_current: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            abstains_until: OnceLock::new(),
            settings,
        });
        let context = LinkContext {
            me,
            secret: shared.settings.secret.clone(),
            clock,
            core: core.clone(),
            metrics,
            timeline,
        };
        start_store(
            &shared,
            context.clock.clone(),
            options.first_catalogue,
            store_inbox,
        )?;
        let drained = start_core(shared.clone(), context, (listener, options.policy), inbox)?;
        let servers = vec![
            Server::start(&shared, callers, Surface::Callers)?,
            Server::start(&shared, endpoints, Surface::Endpoints)?,
            Server::start(&shared, operators, Surface::Operators)?,
        ];
        log::info!("node: Serving callers at {}.", listen_addrs.callers);
        Ok(Self {
            listen_addrs,
            core,
            drained,
            servers,
        })
    }

    /// Returns the addresses on which the process listens.
    #[must_use]
    pub fn listen_addrs(&self) -> ListenAddrs {
        self.listen_addrs
    }

    /// Stops as planned: accepts no new work, completes what is in flight, then ends.
    ///
    /// # Errors
    ///
    /// The core thread ended early.
    pub async fn stop(self) -> anyhow::Result<()> {
        let _ = self.core.send(CoreMsg::Input(Input::Stop));
        let drained = self.drained.await;
        // A graceful stop writes the responses that are ready before connections close.
        let stops = self.servers.into_iter().map(Server::stop);
        futures_util::future::join_all(stops).await;
        drained.context("core: ended before the work in flight was complete")
    }
}

fn bind(name: &str, addr: std::net::SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(addr);
    listener.with_context(|| format!("{name}: cannot listen at {addr}; is it in use?"))
}

fn bind_http(name: &str, addr: std::net::SocketAddr) -> anyhow::Result<tokio::net::TcpListener> {
    let listener = celerywinch_http::bind(addr);
    listener.with_context(|| format!("{name}: cannot listen at {addr}; is it in use?"))
}

/// Starts the core thread. The receiver gets a message when a planned stop is complete.
fn start_core(
    shared: Arc<Shared>,
    context: LinkContext,
    options: (TcpListener, Policy),
    inbox: UnboundedReceiver<CoreMsg>,
) -> anyhow::Result<oneshot::Receiver<()>> {
    let (listener, policy) = options;
    listener.set_nonblocking(true)?;
    let (drained, finished) = oneshot::channel();
    let arbiter = Arbiter::with_name(format!("core-{}", shared.me.instance.0));
    arbiter.handle().spawn(async move {
        ntex::rt::spawn(run_core(
            shared,
            context,
            (listener, policy),
            inbox,
            drained,
        ));
    });
    Ok(finished)
}

async fn run_core(
    shared: Arc<Shared>,
    context: LinkContext,
    options: (TcpListener, Policy),
    inbox: UnboundedReceiver<CoreMsg>,
    drained: oneshot::Sender<()>,
) {
    let (listener, policy) = options;
    let settings = &shared.settings;
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("core: Cannot listen for other instances: {error}.");
            return;
        }
    };
    ntex::rt::spawn(listen(listener, context.clone(), context.config()));
    let peers = settings.instances.iter();
    let peers = peers.filter(|one| one.id != settings.me.id);
    let mut links = Links::new(context.clone(), context.config());
    peers.for_each(|one| links.open(one.id, one.peer_addr));
    let clock = context.clock.clone();
    let config = ConfigBuilder::new(
        shared.me,
        settings.me.dc,
        Clock::wall(),
        settings.topology(),
    )
    .seed(shared.me.incarnation.0 ^ u64::from(shared.me.instance.0))
    .limits(settings.limits)
    .policy(policy)
    .keepers(keepers(settings))
    .durable(settings.data_folder.is_some())
    .build();
    let core = Core {
        entry: Entry::new(config, clock.now()),
        clock,
        links,
        calls: Calls::new(context.core.clone(), context.metrics.clone()).await,
        timeline: context.timeline.clone(),
        waiters: HashMap::new(),
        next_waiter: 0,
        shared,
    };
    // Keys carry their creation time in whole milliseconds: on one created in the last of them, a replica may
    // still abstain.
    let abstains_until = Instant::now() + core.shared.settings.limits.skew + KEY_TIME_MARGIN;
    let _ = core.shared.abstains_until.set(abstains_until);
    core.run(inbox).await;
    let _ = drained.send(());
}

/// Loads the first catalogue and starts the store thread. In a system without keepers the first catalogue is
/// in force immediately.
fn start_store(
    shared: &Arc<Shared>,
    clock: Arc<Clock>,
    given_document: Option<Document>,
    inbox: Receiver<StoreInput>,
) -> anyhow::Result<()> {
    let settings = &shared.settings;
    let document = match (given_document, &settings.first_catalogue) {
        (Some(document), _) => Some(document),
        (None, Some(file)) => Some(load_catalogue(file)?),
        (None, None) => None,
    };
    let keepers = keepers(settings);
    if let (true, Some(document)) = (keepers.is_empty(), document.clone()) {
        let catalogue = Catalogue::check(1, document).map_err(|problems| {
            anyhow::anyhow!("catalogue: invalid first catalogue: {problems:?}")
        })?;
        let msg = CoreMsg::Input(Input::InitialCatalogue(Arc::new(catalogue)));
        shared
            .core
            .send(msg)
            .context("core: ended during startup")?;
    }
    let options = StoreOptions {
        me: shared.me,
        keepers,
        data_folder: settings.data_folder.clone(),
        first_catalogue: document,
        clock,
        core: shared.core.clone(),
    };
    store::start(options, inbox)
}

fn keepers(settings: &Settings) -> Vec<InstanceId> {
    let keepers = settings.instances.iter().filter(|one| one.keeper);
    keepers.map(|one| one.id).collect()
}
