//! A response that was read to its end.

use super::head::Head;
use crate::memory::StoredBody;

/// A response that was read to its end.
pub struct Response {
    /// The parts of the head that the gateway uses.
    pub head: Head,
    /// The body, if its end is certain.
    pub body: ResponseBody,
}

/// The body of a response.
///
/// Guards against passing on a truncated body as a complete one. Only a body whose end is not contradicted by the bytes
/// that follow can be taken out.
pub enum ResponseBody {
    /// The complete body.
    Complete(StoredBody),
    /// Bytes that do not begin another response follow the announced length. They may belong to the body, whose length
    /// is then wrong.
    LengthContradicted,
}
