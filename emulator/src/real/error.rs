//! Why a run could not be made.

use std::path::PathBuf;
use thiserror::Error;

/// Why a run could not be made; printed as one line.
#[derive(Debug, Error)]
pub enum RealRunError {
    /// An argument is outside its range.
    #[error("{argument}: {value} is not within 1 to {max}")]
    OutOfRange {
        /// The argument's name.
        argument: &'static str,
        /// Its value.
        value: u32,
        /// Largest value allowed.
        max: u32,
    },
    /// The gateway's program is not there.
    #[error("--program: {} is not there", program.display())]
    NoProgram {
        /// The path that was looked at.
        program: PathBuf,
    },
    /// A gateway ended before it listened.
    #[error("the gateway ended at its start")]
    GatewayEnded,
    /// A gateway did not listen in time.
    #[error("never listens")]
    GatewayNeverListens,
    /// A gateway was not ready in time.
    #[error("a gateway is never ready")]
    GatewayNeverReady,
    /// The system refused something.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
