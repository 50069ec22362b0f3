//! Experiments, which are defined by TOML files. An experiment is checked when it is read.

mod error;
mod model;
mod settings;
mod validation;

pub use error::ExperimentError;
pub use model::{
    ClassModel, CounterModel, DiscoveryModel, EndpointModel, Experiment, Fault, GatewayModel,
    IdempotencyModel, LoadModel, PlanModel, RulesModel, Topology,
};

use std::path::Path;

/// Reads and checks an experiment's file.
///
/// # Errors
///
/// Fails if the file cannot be read or is not TOML, or if a field is unknown, missing or out of range.
pub fn load(path: &Path) -> Result<Experiment, ExperimentError> {
    let text = std::fs::read_to_string(path).map_err(|source| ExperimentError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    parse(&text).map_err(|source| ExperimentError::InFile {
        path: path.to_owned(),
        source: Box::new(source),
    })
}

/// Parses and checks the TOML text of an experiment.
///
/// # Errors
///
/// Fails if the text is not TOML, or if a field is unknown, missing or out of range.
pub fn parse(text: &str) -> Result<Experiment, ExperimentError> {
    let toml = toml::Deserializer::parse(text).map_err(|error| ExperimentError::Syntax {
        message: one_line(error.message()),
    })?;
    let experiment: Experiment =
        serde_path_to_error::deserialize(toml).map_err(|error| ExperimentError::Field {
            field: error.path().to_string(),
            message: one_line(error.inner().message()),
        })?;
    validation::check(&experiment)?;
    Ok(experiment)
}

/// Joins the lines of a message, as the parser's messages can have several.
fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
