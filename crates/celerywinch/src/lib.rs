//! The command line for operators, and for trying and measuring.

mod commands;
mod status;

pub use commands::{COMMANDS, Command, run};
pub use status::ExitStatus;
