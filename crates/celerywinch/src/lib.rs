//! The command line for operators, and for trials, soaks and benchmarks.

mod commands;

pub use celerywinch_types::ExitStatus;
pub use commands::{COMMANDS, Command, run};
