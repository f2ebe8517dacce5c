//! Time lines: their records, merging them, and rendering them as text or as an HTML page with a picture. Also extracts
//! the history of one job from structured logs.

mod explain;
mod html;
mod merge;
mod record;

pub use explain::{LogLine, explain, parse_log};
pub use html::render_html;
pub use merge::{Filter, load_records, render_text};
pub use record::{EventStamp, TimelineRecord};
