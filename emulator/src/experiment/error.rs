//! What can be wrong with an experiment's file. Each error prints as one line that names the field.

use std::path::PathBuf;
use thiserror::Error;

/// Why an experiment can't be used.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The file was read, but what stands in it can't be used.
    #[error("{}: {source}", path.display())]
    InFile {
        /// The file.
        path: PathBuf,
        /// What is wrong in it.
        source: Box<ExperimentError>,
    },
    /// The text is not TOML.
    #[error("{message}")]
    Syntax {
        /// What the parser says, in one line.
        message: String,
    },
    /// A field is missing, unknown or of the wrong type.
    #[error("{field}: {message}")]
    Field {
        /// The field's path.
        field: String,
        /// What the parser says, in one line.
        message: String,
    },
    /// A figure is outside its range.
    #[error("{field}: {value} is not within {min} to {max}")]
    OutOfRange {
        /// The field's path.
        field: String,
        /// The figure.
        value: f64,
        /// Smallest figure allowed.
        min: f64,
        /// Largest figure allowed.
        max: f64,
    },
    /// A list is empty or too long.
    #[error("{list}: 1 to {max} are needed")]
    ListLength {
        /// The list's name.
        list: &'static str,
        /// Most entries allowed.
        max: usize,
    },
    /// No entry of a list has a share above 0.
    #[error("{list}[0].share: all shares together are 0")]
    NoShares {
        /// The list's name.
        list: &'static str,
    },
    /// A random distribution can't be made of the figures.
    #[error("{field}: {message}")]
    Distribution {
        /// The field that the distribution's main parameter comes from.
        field: &'static str,
        /// What is wrong with the parameters.
        message: String,
    },
}
