//! Measures the memory of an open job and of a remembered key, and the processor time of the decisions about a task.

use std::sync::Arc;
use std::time::{Duration, Instant};

use celerywinch_catalogue::Catalogue;
use celerywinch_entry::{CallEnd, ConfigBuilder, Entry, Input, Output, WaiterId};
use celerywinch_types::{
    DataCentreId, EndpointAnnouncement, EndpointState, Incarnation, InstanceId, Key, Process,
    Submission, TaskBody, Time, WallMs,
};

use super::Row;
use crate::bench::resident_bytes;
use crate::deployment::CONDOR;

/// Number of submissions that are open at once.
const OPEN_JOBS: u64 = 100_000;
/// Size of a task's body and of its result, in bytes.
const BODY_BYTES: usize = 200;
/// Wall-clock time at the start, in milliseconds since the Unix epoch.
const WALL_MS: u64 = 1_700_000_000_000;

pub(super) fn measure() -> anyhow::Result<Vec<Row>> {
    // All measured state is retained until the end; otherwise the next measurement would reuse freed memory, and the
    // growth would not show.
    let mut retained = Vec::new();
    let mut rows = Vec::new();
    rows.push(measure_open_jobs(&mut retained)?);
    rows.extend(measure_decisions(&mut retained)?);
    Ok(rows)
}

/// Creates the only entry of a deployment, with one endpoint of `slots` slots.
fn single_entry(slots: u16) -> anyhow::Result<Entry> {
    let me = Process {
        instance: InstanceId(1),
        incarnation: Incarnation(1),
    };
    let instances = vec![(InstanceId(1), DataCentreId(1), "dc".to_owned())];
    let config = ConfigBuilder::new(me, DataCentreId(1), WallMs(WALL_MS), instances).build();
    let mut entry = Entry::new(config, Time(0));
    let mut document = CONDOR.document()?;
    for kind in document.kinds.values_mut() {
        kind.run_ms = 1;
    }
    let catalogue = Catalogue::check(1, document).map_err(|p| anyhow::anyhow!("{p:?}"))?;
    let mut outputs = Vec::new();
    entry.handle(
        Time(1),
        Input::InitialCatalogue(Arc::new(catalogue)),
        &mut outputs,
    );
    let announcement = EndpointAnnouncement {
        addr: ([127, 0, 0, 1], 9).into(),
        incarnation: 1,
        sequence: 1,
        dc: DataCentreId(1),
        rack: "rack".into(),
        kinds: vec!["price-check".into()],
        slots,
        connections: slots,
        state: EndpointState::Serving,
        age_ms: 0,
    };
    entry.handle(Time(2), Input::Announce(announcement), &mut outputs);
    Ok(entry)
}

fn submission(number: u64, tasks: usize, remaining: Duration) -> anyhow::Result<Submission> {
    let body = format!("\"{}\"", "x".repeat(BODY_BYTES));
    Ok(Submission {
        key: Key::parse(&format!("dc:{number:032}@{}", WALL_MS + 2000))?,
        kind: "price-check".into(),
        team: "dealers".into(),
        digest: number + 1,
        remaining,
        tasks: (0..tasks).map(|_| TaskBody(body.as_str().into())).collect(),
    })
}

/// Measures the memory of an open submission.
fn measure_open_jobs(retained: &mut Vec<Entry>) -> anyhow::Result<Row> {
    let mut entry = single_entry(8)?;
    // The endpoint's announcement expires unless it is renewed, but the simulated time is too short for that.
    let mut outputs = Vec::new();
    let now = Time(2_000_000);
    let before = resident_bytes();
    for number in 0..OPEN_JOBS {
        let submission = submission(number, 1, Duration::from_secs(30))?;
        entry.handle(
            now,
            Input::Submit(WaiterId(number), submission),
            &mut outputs,
        );
        outputs.clear();
    }
    let open = entry.status().open_jobs;
    anyhow::ensure!(open as u64 == OPEN_JOBS, "only {open} are open");
    let bytes = resident_bytes().saturating_sub(before) as f64 / OPEN_JOBS as f64;
    retained.push(entry);
    let sizes = format!("{OPEN_JOBS} open submissions of 1 task, {BODY_BYTES} B bodies");
    Ok(Row::new("memory of an open submission", sizes, bytes, "B"))
}

/// Measures the processor time of all decisions about a task, in jobs of several sizes. Messages and calls are not
/// included.
fn measure_decisions(retained: &mut Vec<Entry>) -> anyhow::Result<Vec<Row>> {
    let mut rows = Vec::new();
    for tasks in [1_usize, 20, 240] {
        let mut entry = single_entry(400)?;
        let jobs = 40_000 / tasks as u64;
        let mut outputs = Vec::new();
        let started_at = Instant::now();
        let before = resident_bytes();
        for number in 0..jobs {
            let now = Time(2_000_000 + number * 10);
            let submission = submission(number, tasks, Duration::from_secs(5))?;
            entry.handle(
                now,
                Input::Submit(WaiterId(number), submission),
                &mut outputs,
            );
            finish_calls(&mut entry, now, &mut outputs);
        }
        let sizes = format!("jobs of {tasks} tasks, 1 replica");
        let micros = started_at.elapsed().as_secs_f64() * 1e6 / (jobs * tasks as u64) as f64;
        rows.push(Row::new(
            "decisions of a task, processor",
            sizes.clone(),
            micros,
            "us",
        ));
        let records = entry.status().claim_records.max(1);
        let bytes = resident_bytes().saturating_sub(before) as f64 / records as f64;
        retained.push(entry);
        rows.push(Row::new(
            "memory of a remembered key and outcome",
            sizes,
            bytes,
            "B",
        ));
    }
    Ok(rows)
}

/// Ends all started calls with a result, including the calls that start in response.
fn finish_calls(entry: &mut Entry, now: Time, outputs: &mut Vec<Output>) {
    let result = TaskBody(format!("\"{}\"", "y".repeat(BODY_BYTES)).into());
    loop {
        let calls: Vec<_> = outputs
            .drain(..)
            .filter_map(|output| match output {
                Output::Start(call) => Some(call.id),
                _ => None,
            })
            .collect();
        if calls.is_empty() {
            return;
        }
        for call in calls {
            let end = CallEnd::Done(result.clone());
            entry.handle(now, Input::CallEnded(call, end), outputs);
        }
    }
}
