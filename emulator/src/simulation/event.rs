//! Events of the simulation.

use crate::clients::ClientRequest;
use crate::Micros;
use quota_gateway::Outcome;

/// A process of a gateway. `incarnation` is the number of the gateway's earlier processes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct GatewayProcess {
    pub(super) index: u32,
    pub(super) incarnation: u32,
}

/// An event of the simulation.
pub(super) enum Event {
    /// The next client makes its first request.
    ClientArrives,
    /// A client retries.
    ClientRetries(ClientRequest),
    /// The client of a request disconnects, if it still awaits the response.
    ClientDisconnects { request: u64 },
    /// A timer set by a gateway fires.
    GatewayTimerFires { process: GatewayProcess, token: u64 },
    /// An attempt arrives at its endpoint.
    AttemptArrives { attempt: u64 },
    /// An endpoint completes an attempt, unless the endpoint has lost its requests in the meantime.
    ServiceCompleted {
        endpoint: u32,
        generation: u32,
        attempt: u64,
    },
    /// An attempt ends for its gateway: with a response, or without one.
    AttemptEnds { attempt: u64, outcome: Outcome },
    /// A call arrives at the counter.
    CounterCallArrives { call: u64, amount: f64, ttl: Micros },
    /// The counter's reply arrives at the gateway, or the call times out.
    CounterCallEnds {
        call: u64,
        outcome: Outcome,
        total: f64,
    },
    /// The agent of a gateway receives discovery's current endpoint list.
    EndpointListArrives { process: GatewayProcess },
    /// Discovery detects the current state of an endpoint.
    EndpointStatusDetected { endpoint: u32 },
    /// The time by which a request must have its final response passes.
    DeadlinePasses { request: u64 },
    /// A gateway closes connections that have been idle for too long.
    IdleConnectionCheck { gateway: u32 },
    /// A fault begins.
    FaultStarts { fault: usize },
    /// A fault ends.
    FaultEnds { fault: usize },
    /// A gateway begins its graceful shutdown.
    GatewayShutsDown { gateway: u32 },
    /// A gateway's next process starts.
    GatewayStarts { gateway: u32 },
    /// A share of the endpoints begin to drain, and the same number of new ones start.
    EndpointsReplaced { share: f64 },
    /// An endpoint that has drained stops.
    EndpointStops { endpoint: u32 },
}
