//! The ejection state of one endpoint: its consecutive failures, and whether it is ejected because of them.

use crate::api::Millis;

/// The ejection state of an endpoint. The methods are in `policy::ejection`.
#[derive(Default)]
pub(crate) struct Ejection {
    pub(crate) consecutive_failures: u32,
    /// Whether the endpoint is ejected. It remains ejected after the ejection time until an attempt succeeds.
    pub(crate) is_ejected: bool,
    /// End of the ejection time.
    pub(crate) until: Millis,
}
