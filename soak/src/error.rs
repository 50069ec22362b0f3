//! Why a run could not be made.

use std::path::PathBuf;
use thiserror::Error;

/// Why a run could not be made; printed as one line.
#[derive(Debug, Error)]
pub enum SoakError {
    /// An argument is outside its range.
    #[error("{argument}: {value} is not within 1 to {max}")]
    OutOfRange {
        /// The argument's name.
        argument: &'static str,
        /// Its value.
        value: u64,
        /// Largest value allowed.
        max: u64,
    },
    /// A file that an argument names is not there.
    #[error("{argument}: {} is not there", path.display())]
    NotThere {
        /// The argument's name.
        argument: &'static str,
        /// The path that was looked at.
        path: PathBuf,
    },
    /// The system refused something.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
