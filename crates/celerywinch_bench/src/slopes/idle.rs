//! Measures the cost of idle instances, with real ones over loopback.

use std::time::Duration;

use celerywinch_dispatch::Policy;

use super::Row;
use crate::bench::{resident_bytes, thread_cpu_seconds};
use crate::cluster::Cluster;
use crate::deployment::{CONDOR, Deployment};

/// Time in which idle instances are measured.
const MEASURE_TIME: Duration = Duration::from_secs(8);

/// Layouts to measure: the data centres, each with its number of entries, and the number of endpoints.
const LAYOUTS: &[(&[(&str, usize)], usize)] = &[
    (&[("a", 3)], 3),
    (&[("a", 3), ("b", 2), ("c", 2)], 6),
    (&[("a", 3), ("b", 3), ("c", 3), ("d", 3)], 8),
    (&[("a", 3), ("b", 3), ("c", 3), ("d", 3)], 96),
];

pub(super) async fn measure() -> anyhow::Result<Vec<Row>> {
    let mut rows = Vec::new();
    for (dcs, endpoints) in LAYOUTS {
        rows.extend(measure_idle(dcs, *endpoints).await?);
    }
    Ok(rows)
}

async fn measure_idle(
    dcs: &'static [(&'static str, usize)],
    endpoints: usize,
) -> anyhow::Result<Vec<Row>> {
    let deployment = Deployment { dcs, ..CONDOR };
    let before = resident_bytes();
    let cluster = Cluster::start(&deployment, endpoints, None, Policy::default()).await?;
    let nodes = cluster.nodes.len();
    let bytes_before = bytes_sent(&cluster).await?;
    let core_before = thread_cpu_seconds("core-");
    tokio::time::sleep(MEASURE_TIME).await;
    let core_seconds = (thread_cpu_seconds("core-") - core_before) / nodes as f64;
    let bytes = (bytes_sent(&cluster).await? - bytes_before) / nodes as f64;
    let memory = resident_bytes().saturating_sub(before) as f64 / nodes as f64;
    cluster.stop().await?;
    let seconds = MEASURE_TIME.as_secs_f64();
    let sizes = format!(
        "{nodes} real entries, {} data centres, {endpoints} endpoints",
        dcs.len()
    );
    Ok(vec![
        Row::new(
            "idle core thread, processor",
            sizes.clone(),
            core_seconds / seconds * 100.0,
            "% of a core",
        ),
        Row::new(
            "idle bytes sent to instances",
            sizes.clone(),
            bytes / seconds / 1000.0,
            "KB/s",
        ),
        Row::new(
            "idle memory, with its share of endpoints",
            sizes,
            memory / 1e6,
            "MB",
        ),
    ])
}

/// Returns the bytes that all entries have sent to each other.
async fn bytes_sent(cluster: &Cluster) -> anyhow::Result<f64> {
    let mut sum = 0.0;
    for index in 0..cluster.nodes.len() {
        let metrics = cluster.metrics(index).await?;
        let sent = metrics.get("celerywinch_peer_bytes_sent_total");
        sum += sent.copied().unwrap_or(0.0);
    }
    Ok(sum)
}
