//! The command line for operators, and for trying and measuring.

mod commands;

pub use celerywinch_types::ExitStatus;
pub use commands::{COMMANDS, Command, run};
