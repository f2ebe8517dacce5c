//! A cluster in one process: the entries of a deployment with stand-in endpoints and a caller.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

use celerywinch_dispatch::Policy;
use celerywinch_node::{ListenAddrs, Node, NodeOptions};
use celerywinch_settings::{Instance, Secret, SettingsBuilder};
use celerywinch_standin::{Caller, EndpointPlan, Fleet, FleetPlan};
use celerywinch_types::{DataCentreId, InstanceId};

use crate::deployment::Deployment;

/// The secret of all clusters that are started here.
pub const SECRET: &str = "only-for-one-process";
/// Number of slots of every endpoint.
const SLOTS: u16 = 8;
/// Number of threads that serve the endpoints.
const FLEET_THREADS: usize = 2;

/// A running cluster.
pub struct Cluster {
    /// The entries, in the order of their instance IDs.
    pub nodes: Vec<Node>,
    /// The endpoints.
    pub fleet: Fleet,
    /// An HTTP client that acts as caller and operator.
    pub caller: Caller,
    instances: Vec<Instance>,
}

impl Cluster {
    /// Starts all entries and `endpoints` endpoints, and waits until every entry knows all endpoints of
    /// its data centre. With `dir`, every entry writes its timeline to a file there.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound, or if an entry does not learn its endpoints in time.
    pub async fn start(
        deployment: &Deployment,
        endpoints: usize,
        dir: Option<&Path>,
        policy: Policy,
    ) -> anyhow::Result<Self> {
        Self::start_with(deployment, endpoints, dir, policy, 0).await
    }

    /// Starts a cluster whose first `keepers` entries are keepers of the catalogue, with their data below `dir`.
    ///
    /// # Errors
    ///
    /// See [`Self::start`].
    pub async fn start_keepers(
        deployment: &Deployment,
        endpoints: usize,
        dir: &Path,
        policy: Policy,
        keepers: usize,
    ) -> anyhow::Result<Self> {
        Self::start_with(deployment, endpoints, Some(dir), policy, keepers).await
    }

    async fn start_with(
        deployment: &Deployment,
        endpoints: usize,
        dir: Option<&Path>,
        policy: Policy,
        keepers: usize,
    ) -> anyhow::Result<Self> {
        let (mut instances, listeners) = plan_instances(deployment)?;
        for instance in instances.iter_mut().take(keepers) {
            instance.keeper = true;
        }
        let mut nodes = Vec::new();
        for (me, listener) in instances.iter().zip(listeners) {
            let data = dir.filter(|_| keepers > 0);
            let data = data.map(|dir| dir.join(format!("data-{}", me.id.0)));
            let timeline =
                dir.map(|dir| dir.join(format!("{}-{}.jsonl", deployment.name, me.id.0)));
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

    /// Returns the addresses on which entry `index` listens.
    #[must_use]
    pub fn listen_addrs(&self, index: usize) -> ListenAddrs {
        self.nodes[index].listen_addrs()
    }

    /// Returns the address of entry `index` for callers.
    #[must_use]
    pub fn caller_addr(&self, index: usize) -> SocketAddr {
        self.listen_addrs(index).callers
    }

    /// Returns the name of the data centre of entry `index`.
    #[must_use]
    pub fn dc_name(&self, index: usize) -> &str {
        &self.instances[index].dc_name
    }

    /// Waits until every entry is ready, sees all peers alive and knows the endpoints of its data centre. After 200
    /// attempts, 50 ms apart, only missing endpoints are an error.
    async fn wait_until_ready(
        &self,
        deployment: &Deployment,
        endpoints: usize,
    ) -> anyhow::Result<()> {
        for index in 0..self.nodes.len() {
            let expected = (0..endpoints)
                .filter(|e| deployment.dcs[e % deployment.dcs.len()].0 == self.dc_name(index))
                .count();
            let mut known = 0;
            for _ in 0..200 {
                let status = self.status(index).await?;
                known = status["endpoints_known"].as_u64().unwrap_or(0);
                let peers = status["peers"].as_array().map_or(0, |peers| {
                    peers.iter().filter(|peer| peer["state"] == "alive").count()
                });
                let ready = status["ready"] == true;
                if ready && known == expected as u64 && peers + 1 == self.nodes.len() {
                    break;
                }
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
            if known != expected as u64 {
                anyhow::bail!("entry {index} knows {known} of {expected} endpoints");
            }
        }
        Ok(())
    }

    /// Returns the metrics of entry `index` by name, each summed over its labels.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not answer.
    pub async fn metrics(&self, index: usize) -> anyhow::Result<HashMap<String, f64>> {
        let operators = self.listen_addrs(index).operators;
        let text = self.caller.get_text(operators, "/metrics", SECRET).await?;
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

    /// Returns the status of entry `index`, as its HTTP API reports it.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not answer.
    pub async fn status(&self, index: usize) -> anyhow::Result<serde_json::Value> {
        let operators = self.listen_addrs(index).operators;
        let response = self
            .caller
            .get(operators, "/v1/status", Some(SECRET))
            .await?;
        Ok(response.body)
    }

    /// Returns the number of violated invariants, summed over all entries.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry does not answer.
    pub async fn violations(&self) -> anyhow::Result<u64> {
        let mut sum = 0;
        for index in 0..self.nodes.len() {
            sum += self.status(index).await?["violations"]
                .as_u64()
                .unwrap_or(0);
        }
        Ok(sum)
    }

    /// Stops the entries and then the endpoints.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry does not stop cleanly.
    pub async fn stop(self) -> anyhow::Result<()> {
        let stops = self.nodes.into_iter().map(Node::stop);
        for result in futures_util::future::join_all(stops).await {
            result?;
        }
        self.fleet.stop().await;
        Ok(())
    }
}

/// Assigns IDs and data centres to the instances, and binds a listener for the peers of each.
fn plan_instances(deployment: &Deployment) -> anyhow::Result<(Vec<Instance>, Vec<TcpListener>)> {
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
    for (instance, node) in instances.iter().zip(nodes) {
        let addrs = entries.entry(instance.dc_name.clone()).or_default();
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
