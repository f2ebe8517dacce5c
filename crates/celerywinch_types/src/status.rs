//! How programs end.

use std::process::ExitCode;

/// How a program ended, as its exit code tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// It did what it was asked, all checks held, and a planned stop cut nothing off: 0.
    Success,
    /// A check did not hold, the system refused, or there was a fault while running: 1.
    Failure,
    /// Wrong arguments, settings or files: 2.
    Usage,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Success => Self::SUCCESS,
            ExitStatus::Failure => Self::from(1),
            ExitStatus::Usage => Self::from(2),
        }
    }
}
