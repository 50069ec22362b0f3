//! Published algorithms that know nothing of settings, customers or endpoints. Their parameters and the reasons of
//! these are in `policy`.

pub(crate) mod backoff;
pub(crate) mod decay;
pub(crate) mod forward_decay;
pub(crate) mod mean;
pub(crate) mod ramp;
pub(crate) mod ring;
pub(crate) mod token_bucket;
pub(crate) mod window;
