//! A response that was read to its end.

use super::head::Head;
use bytes::Bytes;

/// A response that was read to its end.
#[derive(Debug)]
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
#[derive(Debug, PartialEq, Eq)]
pub enum ResponseBody {
    /// The complete body.
    Complete(Bytes),
    /// Bytes that do not begin another response follow the announced length. They may belong to the body, whose length
    /// is then wrong.
    LengthContradicted,
}
