//! A time line as one self-contained HTML page: a picture, then the events as text.

use std::collections::BTreeSet;

use celerywinch_entry::Event;
use celerywinch_types::InstanceId;

use crate::TimelineRecord;
use crate::merge::{describe, render_text};

/// Width of the picture, in SVG units.
const PICTURE_WIDTH: f64 = 1200.0;
/// Width of the instance labels on the left of the picture, in SVG units.
const LABEL_WIDTH: f64 = 110.0;
/// Height of the row of one instance, in SVG units.
const ROW_HEIGHT: f64 = 44.0;
/// Vertical distance of events at the same position, in SVG units.
const STACK_STEP: f64 = 5.0;

/// Renders the page.
#[must_use]
pub fn render_html(records: &[TimelineRecord]) -> String {
    format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>Time line</title>\n\
         <style>body{{font:14px sans-serif;margin:2em}}pre{{font-size:12px}}\
         text{{font:12px sans-serif}}</style>\n<h1>Time line</h1>\n<p>{}</p>\n{}\n\
         <pre>{}</pre>\n</html>\n",
        render_legend(),
        render_picture(records),
        escape(&render_text(records)),
    )
}

/// Returns the colour of an event, by its meaning for its submission.
fn colour(event: &Event) -> &'static str {
    match event {
        Event::Accepted { .. } | Event::Relayed { .. } => "#1f77b4",
        Event::Claimed { .. } | Event::ClaimLost { .. } | Event::Settling { .. } => "#9467bd",
        Event::Sent { .. } => "#ff7f0e",
        Event::Result { .. } | Event::Outcome { .. } => "#2ca02c",
        Event::NotRun { .. } | Event::Undecided { .. } => "#bcbd22",
        Event::TaskLost { .. } | Event::Violation { .. } | Event::PeerDown { .. } => "#d62728",
        Event::PeerUp { .. }
        | Event::PeerSuspect { .. }
        | Event::PeerRestarted { .. }
        | Event::Endpoint { .. }
        | Event::Health { .. }
        | Event::Catalogue { .. }
        | Event::Connection { .. }
        | Event::Stop { .. } => "#7f7f7f",
    }
}

fn render_legend() -> String {
    let entries = [
        ("#1f77b4", "accepted, relayed"),
        ("#9467bd", "claimed, lost, settling"),
        ("#ff7f0e", "sent"),
        ("#2ca02c", "result, outcome"),
        ("#bcbd22", "not run, undecided"),
        ("#d62728", "lost, violation, peer down"),
        ("#7f7f7f", "members, catalogue, connections"),
    ];
    let entries = entries
        .map(|(colour, name)| format!("<span style=\"color:{colour}\">&#9679;</span> {name}"));
    entries.join(" &nbsp; ")
}

fn render_picture(records: &[TimelineRecord]) -> String {
    let instances: BTreeSet<InstanceId> = records
        .iter()
        .map(|record| record.stamp.process.instance)
        .collect();
    let instances: Vec<_> = instances.into_iter().collect();
    let first = records.first().map_or(0, |record| record.stamp.millis());
    let last = records.last().map_or(0, |record| record.stamp.millis());
    let span = (last - first).max(1) as f64;
    let height = ROW_HEIGHT * (instances.len() as f64 + 1.0);
    let mut svg =
        format!("<svg viewBox=\"0 0 {PICTURE_WIDTH} {height}\" width=\"100%\" role=\"img\">\n");
    for (row, instance) in instances.iter().enumerate() {
        let y = ROW_HEIGHT * (row as f64 + 0.7);
        svg.push_str(&format!(
            "<text x=\"4\" y=\"{}\">{instance}</text><line x1=\"{LABEL_WIDTH}\" x2=\"{PICTURE_WIDTH}\" y1=\"{y}\" y2=\"{y}\" stroke=\"#ccc\"/>\n",
            y + 4.0
        ));
    }
    let mut stack_heights = std::collections::BTreeMap::new();
    for record in records {
        let row = instances
            .iter()
            .position(|i| *i == record.stamp.process.instance);
        let fraction = (record.stamp.millis() - first) as f64 / span;
        let x = LABEL_WIDTH + fraction * (PICTURE_WIDTH - LABEL_WIDTH - 10.0);
        // Events of one instance at the same horizontal position are stacked, so that none hides another.
        let stacked = stack_heights.entry((row, x as i64)).or_insert(0.0);
        let y = ROW_HEIGHT * (row.unwrap_or(0) as f64 + 0.7) - *stacked;
        *stacked += STACK_STEP;
        svg.push_str(&format!(
            "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"4\" fill=\"{}\"><title>{}</title></circle>\n",
            colour(&record.event),
            escape(&describe(record))
        ));
    }
    let y = height - 6.0;
    svg.push_str(&format!(
        "<text x=\"{LABEL_WIDTH}\" y=\"{y}\">0 ms</text><text x=\"{}\" y=\"{y}\">{span} ms</text></svg>",
        PICTURE_WIDTH - 90.0
    ));
    svg
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
