//! General building blocks that know nothing of settings, customers or endpoints.

pub(crate) mod adaptive_timeout;
pub(crate) mod decay;
pub(crate) mod ejection;
pub(crate) mod mean;
pub(crate) mod ramp;
pub(crate) mod ring;
pub(crate) mod shared_bucket;
pub(crate) mod token_bucket;
pub(crate) mod window;
