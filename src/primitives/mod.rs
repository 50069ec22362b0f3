//! General building blocks that know nothing of settings, customers or endpoints.

pub(crate) mod adaptive_timeout;
pub(crate) mod decay;
pub(crate) mod ejection;
pub(crate) mod forward_decay;
pub(crate) mod load_estimate;
pub(crate) mod mean;
pub(crate) mod ramp;
pub(crate) mod ring;
pub(crate) mod token_bucket;
pub(crate) mod window;
