//! Exit codes of the programs.

use std::process::ExitCode;

/// How a program ended, as its exit code reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Code 0: the command succeeded, all checks passed, and a planned stop interrupted nothing.
    Success,
    /// Code 1: a check failed, the system refused the request, or an error occurred while running.
    Failure,
    /// Code 2: the arguments, settings or files are invalid.
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
