//! Settings files.
//!
//! [`Options`] is a file as it was written; [`Settings`] is one that was checked. Every problem
//! names the file, the line, the field, what was found and what is wanted, and all problems of a
//! file are reported at once.

mod load;
mod options;
mod settings;

pub use load::{
    LoadError, Problem, load_catalogue, load_settings, parse_catalogue, parse_settings,
};
pub use options::{InstanceOptions, LimitOptions, Options, Role};
pub use settings::{Instance, Secret, Settings, SettingsBuilder};
