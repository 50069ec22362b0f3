//! Requests that have no final answer yet or have attempts in flight.

use crate::api::{EndpointId, Millis, Request};

/// One attempt of a request.
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) started_at: Millis,
    /// Requests of this gateway at the backend when it was sent, this one included.
    pub(crate) endpoint_in_flight: f64,
    pub(crate) in_flight: bool,
}

/// The first attempt of a request that may have been executed: repeats are bound to its endpoint and its time.
#[derive(Clone, Copy)]
pub(crate) struct FirstExecution {
    pub(crate) started_at: Millis,
    pub(crate) endpoint: EndpointId,
}

/// A request not yet ended.
pub(crate) struct OpenRequest {
    pub(crate) request: Request,
    pub(crate) deadline: Millis,
    /// An answer after this no longer meets the aim.
    pub(crate) objective_deadline: Millis,
    /// The counter has been asked and the request waits for its answer.
    pub(crate) awaiting_counter: bool,
    /// It was sent inside the quota, as far as known.
    pub(crate) within_quota: bool,
    /// An attempt of it has ended that was sent.
    pub(crate) forwarded: bool,
    pub(crate) closed: bool,
    pub(crate) streaming: bool,
    pub(crate) attempts: Vec<Attempt>,
    /// The first attempt that may have been executed.
    pub(crate) first_execution: Option<FirstExecution>,
}

impl OpenRequest {
    /// A request that has just come in.
    pub(crate) fn new(request: Request, deadline: Millis, objective_deadline: Millis) -> Self {
        OpenRequest {
            request,
            deadline,
            objective_deadline,
            awaiting_counter: false,
            within_quota: true,
            forwarded: false,
            closed: false,
            streaming: false,
            attempts: Vec::new(),
            first_execution: None,
        }
    }
}
