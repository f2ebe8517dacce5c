//! Time lines: their lines, merging them, and showing them as text or as a page with a picture.

mod explain;
mod html;
mod merge;
mod record;

pub use explain::{LogLine, explain, parse_log};
pub use html::render_html;
pub use merge::{Filter, load_records, render_text};
pub use record::{EventStamp, TimelineRecord};
