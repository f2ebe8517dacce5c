//! Options and HTTP requests shared by the operators' commands.

use std::net::SocketAddr;
use std::path::Path;

use anyhow::{Context, bail};
use celerywinch_client::{Client, Response};
use getopts::Matches;
use ntex::rt::{DefaultRuntime, System};

/// Adds the options that select an instance.
pub(super) fn options(options: &mut getopts::Options) {
    options.optopt(
        "",
        "at",
        "address of the operators' listener of an instance",
        "ADDR",
    );
    options.optopt(
        "",
        "secret-file",
        "file that contains the operators' secret",
        "FILE",
    );
    options.optflag("", "json", "print JSON");
}

/// The instance that receives the requests.
pub(super) struct Target {
    addr: SocketAddr,
    secret: String,
}

impl Target {
    pub(super) fn from(matches: &Matches) -> anyhow::Result<Self> {
        let addr = matches.opt_str("at").context("`--at ADDR` is missing")?;
        let file = matches.opt_str("secret-file");
        let file = file.context("`--secret-file FILE` is missing")?;
        let secret = std::fs::read_to_string(Path::new(&file));
        let secret = secret.with_context(|| format!("cannot read {file}"))?;
        Ok(Self {
            addr: addr.parse().with_context(|| {
                format!("`--at`: found {addr:?}, wanted an IP address and a port")
            })?,
            secret: secret.trim().to_owned(),
        })
    }

    /// Sends a GET request and returns the JSON body; returns an error unless the status is 200.
    pub(super) fn get(&self, path: &str) -> anyhow::Result<serde_json::Value> {
        let (addr, secret, path) = (self.addr, self.secret.clone(), path.to_owned());
        let response = block_on(async move {
            let client = Client::new(Some(secret)).await?;
            client.get(addr, &path).await
        })?;
        if response.status != 200 {
            bail!("{} answered {}", self.addr, response.problem());
        }
        Ok(response.body)
    }

    /// Sends a PUT request with a JSON body.
    pub(super) fn put(&self, path: &str, body: serde_json::Value) -> anyhow::Result<Response> {
        let (addr, secret, path) = (self.addr, self.secret.clone(), path.to_owned());
        block_on(async move {
            let client = Client::new(Some(secret)).await?;
            client.put(addr, &path, &body).await
        })
    }
}

fn block_on<T: 'static>(
    future: impl Future<Output = anyhow::Result<T>> + 'static,
) -> anyhow::Result<T> {
    System::build()
        .name("celerywinch")
        .build(DefaultRuntime)
        .block_on(future)
}
