//! Drives the decision library: turns what happens into its events and carries out its actions. It alone gives a
//! request its final response, and gives it once.
//!
//! Arrows go downwards only: `events` calls `actions`, which calls `attempts` and the parts below. Attempts report to a
//! trait that they define, which `events` implements.
//!
//! - `events`: what comes in, from the server, attempts, the counter, other gateways and discovery
//! - `actions`: the library's loop, and what it asks for
//! - `attempts`: the tasks that send attempts
//! - `registry`, `registered_request`: the open requests and their attempts
//! - `enforcement`: refuses attempts right before they are started or written
//! - `rule_checks`: finds rules that were broken in spite of that
//! - `slow_start_check`: what endpoints in slow start may get
//! - `endpoints`, `endpoint_ids`: the states of the listed endpoints, and the library's ids of them
//! - `start_times`: when endpoints started, although clocks may be wrong
//! - `topology`: the names of zones and kinds
//! - `clock`: the library's clock
//! - `messages`: what the server hands to the driver and gets back

mod actions;
mod attempts;
mod clock;
mod endpoint_ids;
mod endpoints;
mod enforcement;
mod events;
mod messages;
mod registered_request;
mod registry;
mod rule_checks;
mod slow_start_check;
mod start_times;
mod topology;

pub use messages::{FinalResponse, ForwardedRequest, IncomingRequest};
pub use topology::TopologyNames;

use crate::counter::CounterClient;
use crate::gossip::GossipSocket;
use crate::lifecycle::Lifecycle;
use crate::metrics::Metrics;
use crate::rate_limited_warning::RateLimitedWarning;
use crate::upstream::ConnectionPool;
use attempts::AttemptSender;
use clock::Clock;
use endpoints::Endpoints;
use enforcement::AttemptLimits;
use quota_gateway::{Action, Gateway, Settings};
use registry::RequestRegistry;
use rule_checks::RuleChecker;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Without an answer from discovery, a gateway is ready after this time, with the endpoints of its configuration.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Bits of a request's id below the clock's milliseconds: one process serves fewer than 2^16 requests per millisecond.
const REQUEST_ID_SHIFT: u32 = 16;

/// The sockets that the driver sends on.
pub struct Transports {
    /// The connections to endpoints.
    pub pool: ConnectionPool,
    /// The shared counter; absent where the settings have none.
    pub counter: Option<CounterClient>,
    /// The socket between gateways; absent where the settings have none.
    pub gossip: Option<Rc<GossipSocket>>,
}

/// The driver. All tasks share it, on one thread. Each part of its state is borrowed for single steps only, never across
/// an `await`.
pub struct Driver {
    clock: Clock,
    decisions: RefCell<Gateway>,
    /// Buffer for the library's actions, reused to save allocations; empty between two events.
    actions: RefCell<Vec<Action>>,
    registry: Rc<RefCell<RequestRegistry>>,
    endpoints: Rc<RefCell<Endpoints>>,
    pool: Rc<ConnectionPool>,
    attempt_sender: Rc<AttemptSender>,
    counter: Option<CounterClient>,
    gossip: Option<Rc<GossipSocket>>,
    discovery_synced: Cell<bool>,
    started_at: Instant,
    bad_entry_warning: RateLimitedWarning,
    rule_checker: Rc<RuleChecker>,
    lifecycle: Rc<Lifecycle>,
    metrics: Rc<Metrics>,
}

impl Driver {
    /// A driver with no requests.
    pub fn new(
        settings: Settings,
        seed: u64,
        topology: TopologyNames,
        transports: Transports,
        lifecycle: Rc<Lifecycle>,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let clock = Clock::new();
        let limits = AttemptLimits {
            max_attempts: settings.limits.max_attempts as usize,
            hedging: settings.limits.hedging,
        };
        let max_units = settings.max_units;
        // Ids start from the clock, so that no request has the id of one from before a restart.
        let first_id = (clock.now_ms() as u64) << REQUEST_ID_SHIFT;
        let rule_checker = Rc::new(RuleChecker::new(&settings.rules, metrics.clone()));
        let decisions = Gateway::new(settings, seed, clock.now_ms());
        let registry = Rc::new(RefCell::new(RequestRegistry::new(
            first_id, limits, max_units,
        )));
        let endpoints = Rc::new(RefCell::new(Endpoints::new(topology)));
        let pool = Rc::new(transports.pool);
        let attempt_sender = Rc::new(AttemptSender {
            clock,
            registry: registry.clone(),
            endpoints: endpoints.clone(),
            pool: pool.clone(),
            rule_checker: rule_checker.clone(),
            lifecycle: lifecycle.clone(),
            metrics: metrics.clone(),
        });
        Rc::new(Driver {
            clock,
            decisions: RefCell::new(decisions),
            actions: RefCell::default(),
            registry,
            endpoints,
            pool,
            attempt_sender,
            counter: transports.counter,
            gossip: transports.gossip,
            discovery_synced: Cell::new(false),
            started_at: Instant::now(),
            bad_entry_warning: RateLimitedWarning::default(),
            rule_checker,
            lifecycle,
            metrics,
        })
    }

    /// The counters of this process.
    pub fn metrics(&self) -> &Rc<Metrics> {
        &self.metrics
    }

    /// Reports broken rules.
    pub fn rule_checker(&self) -> &RuleChecker {
        &self.rule_checker
    }

    /// True once requests can be served: the list is up to date, or discovery does not answer, and an endpoint is ready.
    pub fn is_ready(&self) -> bool {
        let list_is_usable =
            self.discovery_synced.get() || self.started_at.elapsed() > DISCOVERY_TIMEOUT;
        list_is_usable && self.endpoints.borrow().any_ready()
    }

    /// Periodic clean-up: closes expired idle connections and forgets endpoints that were removed long ago.
    pub fn sweep(&self) {
        self.pool.close_expired();
        self.endpoints.borrow_mut().drop_expired();
    }
}
