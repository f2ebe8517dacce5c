//! Measures the commit time of changes, the time of one synced write for comparison, and the restart time of a
//! keeper by the number of changes.

use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant};

use celerywinch_catalogue::{Document, Edit, TeamEntry};
use celerywinch_dispatch::Policy;
use celerywinch_keeper::Keeper;
use celerywinch_store::{Disk, Entry, Input, KeeperId, Payload, RaftConfig, Record};
use celerywinch_types::{InstanceId, Time};
use serde_json::json;

use super::Row;
use crate::cluster::{Cluster, SECRET};
use crate::deployment::{CONDOR, Deployment};

/// Number of changes whose commit is measured, and of synced writes.
const CHANGES: u64 = 60;

pub(super) async fn measure() -> anyhow::Result<Vec<Row>> {
    let dir = std::env::temp_dir().join(format!("celerywinch-slopes-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let measured = measure_in(&dir).await;
    std::fs::remove_dir_all(&dir)?;
    measured
}

async fn measure_in(dir: &Path) -> anyhow::Result<Vec<Row>> {
    let mut rows = vec![measure_synced_write(dir)?];
    rows.extend(measure_commits(dir).await?);
    for changes in [0_u64, 1000, 5000] {
        rows.push(measure_restart(
            &dir.join(format!("restart-{changes}")),
            changes,
        )?);
    }
    Ok(rows)
}

fn measure_synced_write(dir: &Path) -> anyhow::Result<Row> {
    let mut file = std::fs::File::create(dir.join("synced"))?;
    let mut times = Vec::new();
    let bytes = vec![7_u8; 12_000];
    for _ in 0..CHANGES {
        let started_at = Instant::now();
        file.write_all(&bytes)?;
        file.sync_data()?;
        times.push(started_at.elapsed());
    }
    Ok(Row::new(
        "one synced write of 12 kB, p50",
        "same disk".into(),
        median(times),
        "ms",
    ))
}

/// Returns the median in milliseconds.
fn median(mut times: Vec<Duration>) -> f64 {
    times.sort_unstable();
    times[times.len() / 2].as_secs_f64() * 1000.0
}

async fn measure_commits(dir: &Path) -> anyhow::Result<Vec<Row>> {
    let deployment = Deployment {
        dcs: &[("bog-1", 3), ("bog-2", 2), ("bog-3", 2)],
        ..CONDOR
    };
    let cluster = Cluster::start_keepers(&deployment, 1, dir, Policy::default(), 3).await?;
    let operators = cluster.listen_addrs(0).operators;
    let page = cluster
        .caller
        .get(operators, "/v1/catalogue", Some(SECRET))
        .await?;
    let mut document = page.body["catalogue"].clone();
    for team in 0..270 {
        document["teams"][format!("team-{team}")] = json!({ "quota": 10 });
    }
    let mut version = page.body["version"].as_u64().unwrap_or(0);
    let (mut commit_times, mut apply_times) = (Vec::new(), Vec::new());
    for change in 0..CHANGES {
        document["teams"][format!("extra-{change}")] = json!({ "quota": 1 });
        let edit = json!({ "change": format!("c{change}"), "base": version, "document": document });
        let started_at = Instant::now();
        let answer = cluster
            .caller
            .put(operators, "/v1/catalogue", SECRET, &edit)
            .await?;
        commit_times.push(started_at.elapsed());
        version = answer.body["version"].as_u64().unwrap_or(version);
        wait_in_force(&cluster, version).await?;
        apply_times.push(started_at.elapsed());
    }
    cluster.stop().await?;
    let sizes = "3 keepers, 7 entries, 15 kB catalogue".to_owned();
    let max = apply_times.iter().max().copied().unwrap_or_default();
    Ok(vec![
        Row::new(
            "change until accepted, p50",
            sizes.clone(),
            median(commit_times),
            "ms",
        ),
        Row::new(
            "change until in force everywhere, p50",
            sizes.clone(),
            median(apply_times),
            "ms",
        ),
        Row::new(
            "change until in force everywhere, worst",
            sizes,
            max.as_secs_f64() * 1000.0,
            "ms",
        ),
    ])
}

/// Waits until a version of the catalogue is in force at every entry.
async fn wait_in_force(cluster: &Cluster, version: u64) -> anyhow::Result<()> {
    for index in 0..cluster.nodes.len() {
        let started_at = Instant::now();
        while cluster.status(index).await?["catalogue_version"].as_u64() < Some(version) {
            anyhow::ensure!(
                started_at.elapsed() < Duration::from_secs(9),
                "entry {index} has not applied version {version} within 9 s"
            );
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    Ok(())
}

/// Measures the time to read the log and rebuild the state, with the daemon's snapshot settings. The log that is
/// read has no snapshot; see `write_log`.
fn measure_restart(dir: &Path, changes: u64) -> anyhow::Result<Row> {
    let config = RaftConfig {
        me: KeeperId {
            instance: InstanceId(1),
            disk: 1,
        },
        instances: vec![InstanceId(1)],
        bootstrap: true,
        max_voters: usize::MAX,
        heartbeat_interval: Duration::from_millis(100),
        election_timeout: Duration::from_millis(400),
        compact_after: 128,
        seed: 1,
    };
    write_log(dir, changes)?;
    let started_at = Instant::now();
    let (_, _, persisted) = Disk::open(dir, 1)?;
    let mut keeper = Keeper::new(config, Time(0), persisted)?;
    keeper.handle(Time(1), Input::Tick, &mut Vec::new());
    let elapsed_ms = started_at.elapsed().as_secs_f64() * 1000.0;
    let sizes = format!("{changes} changes of 6 kB, log without snapshot");
    Ok(Row::new(
        "restart of a keeper, until it can vote",
        sizes,
        elapsed_ms,
        "ms",
    ))
}

/// Writes a log that contains all changes. This is the worst case, in which no snapshot has been made for a long time.
fn write_log(dir: &Path, changes: u64) -> anyhow::Result<()> {
    let (mut disk, _, _) = Disk::open(dir, 1)?;
    let mut document: Document = CONDOR.document()?;
    for team in 0..270 {
        document
            .teams
            .insert(format!("team-{team}"), TeamEntry { quota: 10 });
    }
    let mut records = Vec::new();
    for index in 1..=changes {
        let edit = Edit {
            change_id: format!("change-{index}"),
            base: index - 1,
            document: document.clone(),
        };
        records.push(Record::Entry(Entry {
            index,
            term: 1,
            payload: Payload::Command(serde_json::to_vec(&edit)?),
        }));
    }
    for chunk in records.chunks(256) {
        disk.append(chunk)?;
    }
    Ok(())
}
