//! Errors of a run of the gateway's program.

use std::path::PathBuf;
use thiserror::Error;

/// Error of a run of the gateway's program, printed as one line.
#[derive(Debug, Error)]
pub enum RealRunError {
    /// An argument is out of range.
    #[error("{argument}: {value} is out of range; expected 1 to {max}")]
    OutOfRange {
        /// Name of the argument.
        argument: &'static str,
        /// Value of the argument.
        value: u32,
        /// Largest permitted value.
        max: u32,
    },
    /// The gateway's program does not exist.
    #[error("--program: {} does not exist or is not a file", program.display())]
    NoProgram {
        /// Path of the program.
        program: PathBuf,
    },
    /// A gateway's process ended before it listened.
    #[error("a gateway ended before it listened")]
    GatewayEnded,
    /// A gateway did not listen in time.
    #[error("a gateway did not listen in time")]
    GatewayNeverListens,
    /// A gateway was not ready in time.
    #[error("a gateway did not become ready in time")]
    GatewayNeverReady,
    /// The system refused a socket, a file or a process.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
