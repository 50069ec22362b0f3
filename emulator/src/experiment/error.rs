//! Errors of an experiment's file. Each prints as one line that names the file and, where there is one, the field.

use std::path::PathBuf;
use thiserror::Error;

/// Error of reading or checking an experiment.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The file cannot be read.
    #[error("{}: cannot read the experiment: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the system.
        source: std::io::Error,
    },
    /// The file was read, but its content is not a valid experiment.
    #[error("{}: {source}", path.display())]
    InFile {
        /// Path of the file.
        path: PathBuf,
        /// Error in the file's content.
        source: Box<ExperimentError>,
    },
    /// The text is not valid TOML.
    #[error("{message}")]
    Syntax {
        /// The parser's message, in one line.
        message: String,
    },
    /// A field is missing, unknown or of the wrong type.
    #[error("{field}: {message}")]
    Field {
        /// Path of the field.
        field: String,
        /// The parser's message, in one line.
        message: String,
    },
    /// A value is outside of its range.
    #[error("{field}: {value} is out of range; expected {min} to {max}")]
    OutOfRange {
        /// Path of the field.
        field: String,
        /// Value of the field.
        value: f64,
        /// Smallest permitted value.
        min: f64,
        /// Largest permitted value.
        max: f64,
    },
    /// A list is empty or too long.
    #[error("{list}: expected 1 to {max} entries")]
    ListLength {
        /// Name of the list.
        list: &'static str,
        /// Largest permitted number of entries.
        max: usize,
    },
    /// No entry of a list has a share above 0.
    #[error("{list}[0].share: the shares of all {list} are 0; expected at least one above 0")]
    NoShares {
        /// Name of the list.
        list: &'static str,
    },
    /// Values of the experiment are not valid parameters of a random distribution.
    #[error("{field}: {message}")]
    Distribution {
        /// Field with the main parameter of the distribution.
        field: &'static str,
        /// Error in the parameters.
        message: String,
    },
}
