//! Settings files.
//!
//! [`Options`] is a settings file as it was written; [`Settings`] are the validated settings of a process. Every
//! problem names the file, the line, the field, what was found and what is wanted. All problems of a file are
//! reported at once.

mod load;
mod options;
mod settings;

pub use load::{
    LoadError, Problem, load_catalogue, load_settings, parse_catalogue, parse_settings,
};
pub use options::{InstanceOptions, LimitOptions, Options, Role};
pub use settings::{Instance, Secret, Settings, SettingsBuilder};
