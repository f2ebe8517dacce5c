//! Bytes of an open job and of a remembered key, and the time to decide about a task.

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

/// Submissions held open at once.
const OPEN: u64 = 100_000;
/// Bytes of a task's body and of its result.
const BODY: usize = 200;
const WALL: u64 = 1_700_000_000_000;

pub(super) fn measure() -> anyhow::Result<Vec<Row>> {
    // What was measured stays in use until the end, or the next growth would not show.
    let mut used = Vec::new();
    let mut rows = Vec::new();
    rows.push(open_jobs(&mut used)?);
    rows.extend(decisions(&mut used)?);
    Ok(rows)
}

/// One entry alone, with one endpoint of `slots` slots.
fn lone_entry(slots: u16) -> anyhow::Result<Entry> {
    let me = Process {
        instance: InstanceId(1),
        incarnation: Incarnation(1),
    };
    let instances = vec![(InstanceId(1), DataCentreId(1), "dc".to_owned())];
    let config = ConfigBuilder::new(me, DataCentreId(1), WallMs(WALL), instances).build();
    let mut entry = Entry::new(config, Time(0));
    let mut document = CONDOR.document()?;
    for kind in document.kinds.values_mut() {
        kind.run_ms = 1;
    }
    let catalogue = Catalogue::check(1, document).map_err(|p| anyhow::anyhow!("{p:?}"))?;
    let mut out = Vec::new();
    entry.handle(
        Time(1),
        Input::InitialCatalogue(Arc::new(catalogue)),
        &mut out,
    );
    let note = EndpointAnnouncement {
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
    entry.handle(Time(2), Input::Announce(note), &mut out);
    Ok(entry)
}

fn submission(number: u64, tasks: usize, remaining: Duration) -> anyhow::Result<Submission> {
    let body = format!("\"{}\"", "x".repeat(BODY));
    Ok(Submission {
        key: Key::parse(&format!("dc:{number:032}@{}", WALL + 2000))?,
        kind: "price-check".into(),
        team: "dealers".into(),
        digest: number + 1,
        remaining,
        tasks: (0..tasks).map(|_| TaskBody(body.as_str().into())).collect(),
    })
}

fn open_jobs(used: &mut Vec<Entry>) -> anyhow::Result<Row> {
    let mut entry = lone_entry(8)?;
    // Announcements lapse unless renewed; none of this takes long enough.
    let mut out = Vec::new();
    let now = Time(2_000_000);
    let before = resident_bytes();
    for number in 0..OPEN {
        let submission = submission(number, 1, Duration::from_secs(30))?;
        entry.handle(now, Input::Submit(WaiterId(number), submission), &mut out);
        out.clear();
    }
    let open = entry.status().open_jobs;
    anyhow::ensure!(open as u64 == OPEN, "only {open} are open");
    let bytes = resident_bytes().saturating_sub(before) as f64 / OPEN as f64;
    used.push(entry);
    let sizes = format!("{OPEN} open submissions of 1 task, {BODY} B bodies");
    Ok(Row::new("memory of an open submission", sizes, bytes, "B"))
}

/// Time of all decisions about a task, in jobs of several sizes; messages and calls not included.
fn decisions(used: &mut Vec<Entry>) -> anyhow::Result<Vec<Row>> {
    let mut rows = Vec::new();
    for tasks in [1_usize, 20, 240] {
        let mut entry = lone_entry(400)?;
        let jobs = 40_000 / tasks as u64;
        let mut out = Vec::new();
        let began = Instant::now();
        let memory = resident_bytes();
        for number in 0..jobs {
            let now = Time(2_000_000 + number * 10);
            let submission = submission(number, tasks, Duration::from_secs(5))?;
            entry.handle(now, Input::Submit(WaiterId(number), submission), &mut out);
            finish_calls(&mut entry, now, &mut out);
        }
        let sizes = format!("jobs of {tasks} tasks, 1 replica");
        let micros = began.elapsed().as_secs_f64() * 1e6 / (jobs * tasks as u64) as f64;
        rows.push(Row::new(
            "decisions of a task, processor",
            sizes.clone(),
            micros,
            "us",
        ));
        let records = entry.status().claim_records.max(1);
        let bytes = resident_bytes().saturating_sub(memory) as f64 / records as f64;
        used.push(entry);
        rows.push(Row::new(
            "memory of a remembered key and outcome",
            sizes,
            bytes,
            "B",
        ));
    }
    Ok(rows)
}

fn finish_calls(entry: &mut Entry, now: Time, out: &mut Vec<Output>) {
    let result = TaskBody(format!("\"{}\"", "y".repeat(BODY)).into());
    loop {
        let calls: Vec<_> = out
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
            entry.handle(now, Input::CallEnded(call, end), out);
        }
    }
}
