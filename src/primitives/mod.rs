//! Published algorithms, independent of settings, customers and endpoints. Their parameters, with the reasons for
//! these, are in `policy`.

pub(crate) mod backoff;
pub(crate) mod decay;
pub(crate) mod forward_decay;
pub(crate) mod mean;
pub(crate) mod ramp;
pub(crate) mod ring;
pub(crate) mod token_bucket;
pub(crate) mod window;
