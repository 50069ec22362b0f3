//! Fault modes of the services that gateways call: the counter and discovery.

/// Whether a service is available, and if not, how it fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServiceMode {
    /// Calls are answered.
    #[default]
    Available,
    /// Calls are read and never answered.
    Silent,
    /// Connections are closed at the first call.
    Closes,
    /// Calls are rejected with 503.
    Rejects,
    /// Calls are answered with a body that cannot be parsed.
    Malformed,
}
