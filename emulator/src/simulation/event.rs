//! The events of a simulation.

use crate::clients::ClientRequest;
use crate::Micros;
use quota_gateway::Outcome;

/// One process of a gateway: the gateway's index, and how many processes it had before.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct GatewayProcess {
    pub(super) index: u32,
    pub(super) incarnation: u32,
}

/// Something that happens.
pub(super) enum Event {
    /// The next client makes its first request.
    ClientArrives,
    /// A client retries.
    ClientRetries(ClientRequest),
    /// The client of this request disconnects, if it still waits.
    ClientDisconnects { request: u64 },
    /// A timer that a gateway has set.
    GatewayTimer { process: GatewayProcess, token: u64 },
    /// An attempt arrives at its endpoint.
    AttemptArrives { attempt: u64 },
    /// An endpoint has completed an attempt, unless it has lost its requests meanwhile.
    ServiceCompleted {
        endpoint: u32,
        generation: u32,
        attempt: u64,
    },
    /// An attempt's response is at the gateway, or the gateway knows that there is none.
    AttemptEnds { attempt: u64, outcome: Outcome },
    /// A call arrives at the counter.
    CounterCallArrives { call: u64, amount: f64, ttl: Micros },
    /// A counter's reply is at the gateway, or the gateway gives the call up.
    CounterCallEnds {
        call: u64,
        outcome: Outcome,
        total: f64,
    },
    /// The agent beside a gateway has what discovery has.
    EndpointListArrives { process: GatewayProcess },
    /// Discovery notices the state that an endpoint has now.
    EndpointStatusDetected { endpoint: u32 },
    /// The time within which a request must have its final response is up.
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
    /// A share of the endpoints begin to drain, and as many new ones start.
    EndpointsReplaced { share: f64 },
    /// An endpoint that has drained stops.
    EndpointStops { endpoint: u32 },
}
