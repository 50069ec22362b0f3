//! The faults of a service that gateways call.

/// Whether a service works, and how it fails if it does not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServiceMode {
    /// It answers.
    #[default]
    Available,
    /// It takes calls and never answers.
    Silent,
    /// It closes connections at the first call.
    Closes,
    /// It rejects calls with 503.
    Rejects,
    /// It answers with a body that can't be parsed.
    Malformed,
}
