//! Drives the decision library: passes input to the library as events, and carries out the actions that the library
//! returns. Only the driver gives a request its final response, and it does so once.
//!
//! Calls go in one direction only: `events` calls `actions`, which calls `attempts` and the modules listed below it.
//! Attempts report to a trait that `attempts` defines and `events` implements.
//!
//! - `events`: input from the server, attempts, the counter, other gateways and discovery
//! - `actions`: the event loop of the library, and the actions that the library requests
//! - `attempts`: the tasks that send attempts
//! - `registry`, `registered_request`: the open requests and their attempts
//! - `enforcement`: refuses attempts right before they are started or written
//! - `rule_checks`: finds rules that were broken in spite of `enforcement`
//! - `slow_start_check`: checks the number of attempts to endpoints in slow start
//! - `endpoints`, `endpoint_ids`: the states of the listed endpoints, and the library's ids of them
//! - `start_times`: estimates when endpoints started, as clocks may be wrong
//! - `topology`: the names of zones and endpoint kinds
//! - `clock`: the library's clock
//! - `messages`: the messages between the server and the driver

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

/// Time after which a gateway is ready without a response from discovery, with the endpoints of its configuration.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of bits of a request's id below those of the clock's milliseconds: one process serves fewer than 2^16
/// requests per millisecond.
const REQUEST_ID_SHIFT: u32 = 16;

/// The sockets on which the driver sends.
pub struct Transports {
    pub pool: ConnectionPool,
    /// The client of the shared counter; `None` if the settings have no counter.
    pub counter: Option<CounterClient>,
    /// The socket for gossip between gateways; `None` if the settings disable gossip.
    pub gossip: Option<Rc<GossipSocket>>,
}

/// The driver. All tasks share it on one thread. Each part of its state is borrowed within a single step only, never
/// across an `await`.
pub struct Driver {
    clock: Clock,
    /// The decision library and its state.
    library: RefCell<Gateway>,
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
    invalid_entry_warning: RateLimitedWarning,
    rule_checker: Rc<RuleChecker>,
    lifecycle: Rc<Lifecycle>,
    metrics: Rc<Metrics>,
}

impl Driver {
    /// Creates a driver without open requests.
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
        // Request ids start from the clock, so that no request gets an id that was in use before a restart.
        let first_id = (clock.now_ms() as u64) << REQUEST_ID_SHIFT;
        let rule_checker = Rc::new(RuleChecker::new(&settings.rules, metrics.clone()));
        let library = Gateway::new(settings, seed, clock.now_ms());
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
            library: RefCell::new(library),
            actions: RefCell::default(),
            registry,
            endpoints,
            pool,
            attempt_sender,
            counter: transports.counter,
            gossip: transports.gossip,
            discovery_synced: Cell::new(false),
            started_at: Instant::now(),
            invalid_entry_warning: RateLimitedWarning::default(),
            rule_checker,
            lifecycle,
            metrics,
        })
    }

    /// The metrics of this process.
    pub fn metrics(&self) -> &Rc<Metrics> {
        &self.metrics
    }

    /// The checker that counts and logs broken rules.
    pub fn rule_checker(&self) -> &RuleChecker {
        &self.rule_checker
    }

    /// True if requests can be served: an endpoint is ready, and the list is up to date or `DISCOVERY_TIMEOUT` has
    /// passed since the start.
    pub fn is_ready(&self) -> bool {
        let list_is_usable =
            self.discovery_synced.get() || self.started_at.elapsed() > DISCOVERY_TIMEOUT;
        list_is_usable && self.endpoints.borrow().any_ready()
    }

    /// Closes expired idle connections and forgets endpoints that were removed long ago. Called periodically.
    pub fn sweep(&self) {
        self.pool.close_expired();
        self.endpoints.borrow_mut().drop_expired();
    }
}
