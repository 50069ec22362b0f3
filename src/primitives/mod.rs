//! General building blocks that know nothing of settings, customers or endpoints.

pub(crate) mod aimd;
pub(crate) mod decay;
pub(crate) mod ejection;
pub(crate) mod ramp;
pub(crate) mod ring;
pub(crate) mod running_mean;
pub(crate) mod window;
