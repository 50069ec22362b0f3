//! General building blocks that know nothing of settings, customers or endpoints.

pub(crate) mod aimd;
pub(crate) mod ring;
pub(crate) mod token_bucket;
pub(crate) mod window;
