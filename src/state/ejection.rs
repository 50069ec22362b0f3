//! The failures of one endpoint, and whether it is ejected for them.

use crate::api::Millis;

/// What is remembered of an endpoint's failures. Its methods are in `policy::ejection`.
#[derive(Default)]
pub(crate) struct Ejection {
    pub(crate) consecutive_failures: u32,
    /// It stays ejected until it succeeds, also after the ejection time.
    pub(crate) is_ejected: bool,
    /// End of the ejection time.
    pub(crate) until: Millis,
}
