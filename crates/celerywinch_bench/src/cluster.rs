//! Entries and stand-in endpoints of a deployment in one process.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

use celerywinch_dispatch::Policy;
use celerywinch_node::{ListenAddrs, Node, NodeOptions};
use celerywinch_settings::{Instance, Secret, SettingsBuilder};
use celerywinch_standin::{Caller, EndpointPlan, Fleet, FleetPlan};
use celerywinch_types::{DataCentreId, InstanceId};

use crate::deployment::Deployment;

/// The secret of clusters in one process.
pub const SECRET: &str = "only-for-one-process";
/// Slots of every endpoint.
const SLOTS: u16 = 8;
/// Threads that serve the endpoints.
const FLEET_THREADS: usize = 2;

/// A running cluster.
pub struct Cluster {
    /// The entries, in order of their numbers.
    pub nodes: Vec<Node>,
    /// The endpoints.
    pub fleet: Fleet,
    /// A caller.
    pub caller: Caller,
    instances: Vec<Instance>,
}

impl Cluster {
    /// Starts all entries and `endpoints` endpoints, and waits until every entry knows those of
    /// its data centre.
    ///
    /// # Errors
    ///
    /// A port cannot be bound, or the entries do not become ready.
    pub async fn start(
        deployment: &Deployment,
        endpoints: usize,
        folder: Option<&Path>,
        policy: Policy,
    ) -> anyhow::Result<Self> {
        Self::start_with(deployment, endpoints, folder, policy, 0).await
    }

    /// Starts a cluster whose first `keepers` entries keep the catalogue below `folder`.
    ///
    /// # Errors
    ///
    /// As for [`Self::start`].
    pub async fn start_keepers(
        deployment: &Deployment,
        endpoints: usize,
        folder: &Path,
        policy: Policy,
        keepers: usize,
    ) -> anyhow::Result<Self> {
        Self::start_with(deployment, endpoints, Some(folder), policy, keepers).await
    }

    async fn start_with(
        deployment: &Deployment,
        endpoints: usize,
        folder: Option<&Path>,
        policy: Policy,
        keepers: usize,
    ) -> anyhow::Result<Self> {
        let (mut instances, listeners) = lay_out(deployment)?;
        for one in instances.iter_mut().take(keepers) {
            one.keeper = true;
        }
        let mut nodes = Vec::new();
        for (me, listener) in instances.iter().zip(listeners) {
            let data = folder.filter(|_| keepers > 0);
            let data = data.map(|f| f.join(format!("data-{}", me.id.0)));
            let timeline = folder.map(|f| f.join(format!("{}-{}.jsonl", deployment.name, me.id.0)));
            let settings = SettingsBuilder::new(me.clone(), instances.clone(), Secret::new(SECRET))
                .timeline_file(timeline)
                .data_folder(data)
                .http_threads(Some(1))
                .build();
            let options = NodeOptions {
                peer_listener: Some(listener),
                first_catalogue: Some(deployment.document()?),
                policy,
            };
            nodes.push(Node::start(settings, options).await?);
        }
        let fleet = start_fleet(deployment, endpoints, &instances, &nodes)?;
        let caller = Caller::new().await?;
        let cluster = Self {
            nodes,
            fleet,
            caller,
            instances,
        };
        cluster.wait_until_ready(deployment, endpoints).await?;
        Ok(cluster)
    }

    /// The addresses of entry `index`.
    #[must_use]
    pub fn listen_addrs(&self, index: usize) -> ListenAddrs {
        self.nodes[index].listen_addrs()
    }

    /// Where callers of entry `index` go.
    #[must_use]
    pub fn caller_addr(&self, index: usize) -> SocketAddr {
        self.listen_addrs(index).callers
    }

    /// The name of the data centre of entry `index`.
    #[must_use]
    pub fn dc_name(&self, index: usize) -> &str {
        &self.instances[index].dc_name
    }

    async fn wait_until_ready(
        &self,
        deployment: &Deployment,
        endpoints: usize,
    ) -> anyhow::Result<()> {
        for index in 0..self.nodes.len() {
            let wanted = (0..endpoints)
                .filter(|e| deployment.dcs[e % deployment.dcs.len()].0 == self.dc_name(index))
                .count();
            let mut seen = 0;
            for _ in 0..200 {
                let page = self.status(index).await?;
                seen = page["endpoints_known"].as_u64().unwrap_or(0);
                let peers = page["peers"].as_array().map_or(0, |peers| {
                    peers.iter().filter(|peer| peer["state"] == "alive").count()
                });
                let ready = page["ready"] == true;
                if ready && seen == wanted as u64 && peers + 1 == self.nodes.len() {
                    break;
                }
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
            if seen != wanted as u64 {
                anyhow::bail!("entry {index} knows {seen} of {wanted} endpoints");
            }
        }
        Ok(())
    }

    /// The metrics of entry `index`, by name, labels summed up.
    ///
    /// # Errors
    ///
    /// The entry does not answer.
    pub async fn metrics(&self, index: usize) -> anyhow::Result<HashMap<String, f64>> {
        let operators = self.listen_addrs(index).operators;
        let text = self.caller.text(operators, "/metrics", SECRET).await?;
        let mut sums = HashMap::new();
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            let Some((name, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let name = name.split('{').next().unwrap_or(name).to_owned();
            *sums.entry(name).or_default() += value.parse().unwrap_or(0.0);
        }
        Ok(sums)
    }

    /// The status page of entry `index`.
    ///
    /// # Errors
    ///
    /// The entry does not answer.
    pub async fn status(&self, index: usize) -> anyhow::Result<serde_json::Value> {
        let operators = self.listen_addrs(index).operators;
        let page = self
            .caller
            .get(operators, "/v1/status", Some(SECRET))
            .await?;
        Ok(page.body)
    }

    /// Assertions that failed, over all entries.
    ///
    /// # Errors
    ///
    /// An entry does not answer.
    pub async fn violations(&self) -> anyhow::Result<u64> {
        let mut sum = 0;
        for index in 0..self.nodes.len() {
            sum += self.status(index).await?["violations"]
                .as_u64()
                .unwrap_or(0);
        }
        Ok(sum)
    }

    /// Stops everything, entries first.
    ///
    /// # Errors
    ///
    /// An entry did not end as planned.
    pub async fn stop(self) -> anyhow::Result<()> {
        let stops = self.nodes.into_iter().map(Node::stop);
        for stopped in futures_util::future::join_all(stops).await {
            stopped?;
        }
        self.fleet.stop().await;
        Ok(())
    }
}

fn lay_out(deployment: &Deployment) -> anyhow::Result<(Vec<Instance>, Vec<TcpListener>)> {
    let mut instances = Vec::new();
    let mut listeners = Vec::new();
    for (number, (name, entries)) in deployment.dcs.iter().enumerate() {
        for _ in 0..*entries {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            instances.push(Instance {
                id: InstanceId(u32::try_from(instances.len() + 1)?),
                dc: DataCentreId(u8::try_from(number + 1)?),
                dc_name: (*name).to_owned(),
                peer_addr: listener.local_addr()?,
                keeper: false,
            });
            listeners.push(listener);
        }
    }
    Ok((instances, listeners))
}

fn start_fleet(
    deployment: &Deployment,
    endpoints: usize,
    instances: &[Instance],
    nodes: &[Node],
) -> anyhow::Result<Fleet> {
    let mut entries: HashMap<String, Vec<SocketAddr>> = HashMap::new();
    for (one, node) in instances.iter().zip(nodes) {
        let addrs = entries.entry(one.dc_name.clone()).or_default();
        addrs.push(node.listen_addrs().endpoints);
    }
    let kinds: Vec<_> = deployment.document()?.kinds.keys().cloned().collect();
    let plan = (0..endpoints).map(|index| EndpointPlan {
        dc: deployment.dcs[index % deployment.dcs.len()].0.into(),
        rack: format!("rack-{}", index / deployment.rack_size),
        kinds: kinds.clone(),
        slots: SLOTS,
    });
    Fleet::start(FleetPlan {
        endpoints: plan.collect(),
        entries,
        threads: FLEET_THREADS,
    })
}
