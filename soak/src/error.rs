//! The error of the soak test.

use std::path::PathBuf;
use thiserror::Error;

/// The reason why a run could not be carried out. Printed as one line.
#[derive(Debug, Error)]
pub enum SoakError {
    /// An argument is outside its range.
    #[error("{argument}: {value} is out of range, expected 1 to {max}")]
    OutOfRange {
        /// The name of the argument.
        argument: &'static str,
        /// The value that was given.
        value: u64,
        /// The largest value allowed.
        max: u64,
    },
    /// A path that an argument names isn't an existing file.
    #[error("{argument}: {} is not an existing file", path.display())]
    FileNotFound {
        /// The name of the argument.
        argument: &'static str,
        /// The path that was given.
        path: PathBuf,
    },
    /// The operating system refused an operation on a socket, file or process.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
