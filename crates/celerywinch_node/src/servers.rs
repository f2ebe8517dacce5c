//! The HTTP servers of a process: threads that accept the connections of one listener each.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use celerywinch_http::{HttpLimits, Limiter, Share, serve_app};
use ntex::rt::Arbiter;
use ntex::web::App;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

use crate::http;
use crate::resources::{self, ClientMetrics};
use crate::shared::Shared;

/// How long requests may take that are being served when the process stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// The set of routes that a listener serves.
#[derive(Clone, Copy)]
pub(crate) enum Surface {
    Callers,
    Endpoints,
    Operators,
}

/// A server, which runs until it is stopped.
pub(crate) struct Server {
    stop: watch::Sender<bool>,
    /// One for each thread, which completes when the thread has stopped.
    stopped: Vec<oneshot::Receiver<()>>,
}

impl Server {
    /// Starts the threads of a server.
    pub(crate) fn start(
        shared: &Arc<Shared>,
        listener: TcpListener,
        surface: Surface,
    ) -> anyhow::Result<Self> {
        let caller_threads = shared.settings.http_threads;
        let (name, share, threads) = match surface {
            Surface::Callers => ("callers", Share::Main, caller_threads),
            Surface::Endpoints => ("endpoints", Share::Peers, 1),
            Surface::Operators => ("operators", Share::Minor, 1),
        };
        // Each thread admits connections by itself, those for endpoints and operators included.
        let limits = resources::limits()
            .memory_shares(caller_threads + 2)
            .connection_shares(threads)
            .build(&[(name, share)]);
        let listener = listener.into_std().context("http: cannot listen")?;
        let (stop, stopping) = watch::channel(false);
        let mut server = Self {
            stop,
            stopped: Vec::new(),
        };
        for index in 0..threads {
            let (done, stopped) = oneshot::channel();
            server.stopped.push(stopped);
            let listener = listener.try_clone().context("http: cannot listen")?;
            let (shared, limits, mut stopping) = (shared.clone(), limits.clone(), stopping.clone());
            let arbiter = Arbiter::with_name(format!("{name}-{index}"));
            arbiter.handle().spawn(async move {
                ntex::rt::spawn(async move {
                    let limiter = Limiter::new(limits);
                    let metrics = ClientMetrics::new(shared.metrics.clone());
                    ntex::rt::spawn(limiter.clone().run(HttpLimits::default, metrics));
                    let configure = match surface {
                        Surface::Callers => http::callers,
                        Surface::Endpoints => http::endpoints,
                        Surface::Operators => http::operators,
                    };
                    let app = App::new().state(shared).configure(configure);
                    let stop = async move {
                        // Fails only if the process ends.
                        let _ = stopping.wait_for(|stopping| *stopping).await;
                    };
                    let served = serve_app(listener, limiter, app, stop, SHUTDOWN_TIMEOUT).await;
                    if let Err(error) = served {
                        log::error!("http: Cannot serve {name}: {error:#}.");
                    }
                    let _ = done.send(());
                });
            });
        }
        Ok(server)
    }

    /// Stops accepting connections, and waits until the requests that are being served are answered.
    pub(crate) async fn stop(self) {
        let _ = self.stop.send(true);
        for stopped in self.stopped {
            let _ = stopped.await;
        }
    }
}
