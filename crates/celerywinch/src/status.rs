//! Exit codes.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// It did what it was asked, and all checks held.
    Success,
    /// A check did not hold, or the system refused.
    Failure,
    /// Wrong arguments or files.
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
