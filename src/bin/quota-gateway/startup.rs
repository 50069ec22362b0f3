//! Starts the gateway: opens its sockets, creates its components and spawns their tasks.

use crate::config::{Config, GossipConfig};
use crate::counter::{self, CounterClient, CounterQueues};
use crate::discovery::list::EndpointList;
use crate::discovery::{self, EndpointListHandler, WatchPolicy};
use crate::driver::{Driver, TopologyNames, Transports};
use crate::error::StartupError;
use crate::gossip::{self, GossipSocket};
use crate::lifecycle::{longest_deadline, Lifecycle};
use crate::memory::MemoryBudget;
use crate::metrics::Metrics;
use crate::reload::ReloadableAddresses;
use crate::retry::retry;
use crate::server::{Acceptor, ClientSlots, Server, LISTEN_BACKLOG};
use crate::shutdown::Shutdown;
use crate::transient_errors::is_transient_bind_error;
use crate::upstream::ConnectionPool;
use quota_gateway::Settings;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::sleep;

/// Number of file descriptors reserved for everything but clients and endpoints: log, signals, counter, discovery,
/// gossip, listener.
const RESERVED_DESCRIPTORS: usize = 32;
/// Share of the descriptors from which clients count as a crowd, in percent. Ordinary clients hold a third of them for
/// requests, and a closed connection may overlap with the next one.
const CROWD_PERCENT: usize = 38;
/// Time for which binding one address is retried. The process must be ready 30 s after its start.
const BIND_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the driver closes expired idle connections and forgets endpoints that were removed long ago.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The handles by which the main task controls a running gateway.
pub struct RunningGateway {
    /// Addresses that SIGHUP reloads from the configuration.
    pub addresses: ReloadableAddresses,
    /// Shuts the gateway down gracefully.
    pub shutdown: Shutdown,
}

/// Opens the sockets of the gateway and starts all its tasks on the current `LocalSet`.
pub async fn start(config: Config) -> Result<RunningGateway, StartupError> {
    let listener = listen(config.listen).await?;
    let budget = DescriptorBudget::new(config.max_descriptors);
    let memory = MemoryBudget::of_process(config.memory_limit, budget.crowd_connections);
    let pool = create_pool(&config, &budget, &memory);
    let max_gossip_per_second = config.gossip.max_messages_per_second;
    let gossip_socket = bind_gossip(config.gossip, &config.settings).await?;
    let client_slots = ClientSlots::new(budget.clients);
    let settings = budget.limit_connections(config.settings);
    let counter_addr = config.counter.filter(|_| settings.counter.is_some());
    let metrics = Metrics::new();
    let addresses = ReloadableAddresses::new(config.discovery, counter_addr, &metrics, &memory);
    let (counter_client, counter_queues) = CounterClient::new();
    let transports = Transports {
        pool,
        counter: counter_addr.map(|_| counter_client),
        gossip: gossip_socket.clone(),
    };
    let lifecycle = Lifecycle::new();
    let driver = Driver::new(
        settings.clone(),
        config.seed,
        TopologyNames {
            zones: config.zone_names,
            kinds: config.kind_names,
        },
        transports,
        lifecycle.clone(),
        metrics.clone(),
    );

    spawn_counter(&addresses, &settings, counter_queues, &memory, &driver);
    let watch_policy = WatchPolicy::new(&settings, config.seed);
    let known = config.known_endpoints;
    spawn_discovery(&addresses, known, watch_policy, &memory, &driver);
    spawn_gossip(gossip_socket, max_gossip_per_second, &driver);
    spawn_sweeper(driver.clone(), memory.clone());

    let server = Server::new(
        driver.clone(),
        lifecycle.clone(),
        &settings,
        config.class_names,
        config.plan_names,
        client_slots.semaphore(),
        memory,
    );
    let acceptor = accept_clients(listener, &server)?;
    Ok(RunningGateway {
        addresses,
        shutdown: Shutdown {
            longest_deadline: longest_deadline(&settings),
            lifecycle,
            server,
            driver,
            acceptor,
            client_slots,
        },
    })
}

/// Creates the pool of connections to endpoints.
fn create_pool(
    config: &Config,
    budget: &DescriptorBudget,
    memory: &Rc<MemoryBudget>,
) -> ConnectionPool {
    ConnectionPool::new(
        budget.endpoints,
        config.connect_timeout_ms,
        config.idle_timeout_ms,
        memory.clone(),
    )
}

/// Starts the tasks that call the counter, if the gateway uses one.
fn spawn_counter(
    addresses: &ReloadableAddresses,
    settings: &Settings,
    queues: CounterQueues,
    memory: &Rc<MemoryBudget>,
    driver: &Rc<Driver>,
) {
    if let (Some(addr), Some(counter)) = (&addresses.counter, settings.counter) {
        counter::spawn(
            queues,
            &addr.subscribe(),
            counter.timeout_ms,
            memory.clone(),
            driver.clone(),
        );
    }
}

/// Starts to receive gossip, if the gateway has a gossip socket.
fn spawn_gossip(
    socket: Option<Rc<GossipSocket>>,
    max_messages_per_second: f64,
    driver: &Rc<Driver>,
) {
    if let Some(socket) = socket {
        tokio::task::spawn_local(gossip::run(socket, max_messages_per_second, driver.clone()));
    }
}

/// Starts to accept clients. Logs the address with the actual port, as the system chooses a free port if the
/// configuration specifies port 0.
fn accept_clients(listener: TcpListener, server: &Rc<Server>) -> Result<Acceptor, StartupError> {
    let addr = listener.local_addr().map_err(StartupError::LocalAddress)?;
    tracing::info!("listening on {addr}");
    Ok(Acceptor::spawn(server.clone(), listener))
}

/// Listens for clients on `addr`. Retries transient errors for `BIND_TIMEOUT`.
async fn listen(addr: SocketAddr) -> Result<TcpListener, StartupError> {
    let listener = retry(BIND_TIMEOUT, is_transient_bind_error, || async {
        open_listener(addr)
    })
    .await;
    listener.map_err(|source| StartupError::Listen { addr, source })
}

fn open_listener(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    // After a restart, connections of the previous process may still be in TIME_WAIT. Without this option the system
    // would refuse the address until they have left that state.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Binds the gossip socket. Returns `None` if the configuration has no gossip address or the settings disable gossip.
/// Retries transient errors for `BIND_TIMEOUT`.
async fn bind_gossip(
    config: GossipConfig,
    settings: &Settings,
) -> Result<Option<Rc<GossipSocket>>, StartupError> {
    let Some(addr) = config.listen.filter(|_| settings.limits.gossip) else {
        return Ok(None);
    };
    let bind = || GossipSocket::bind(addr, config.peers.clone(), config.broadcast);
    match retry(BIND_TIMEOUT, is_transient_bind_error, bind).await {
        Ok(socket) => Ok(Some(Rc::new(socket))),
        Err(source) => Err(StartupError::GossipListen { addr, source }),
    }
}

/// The division of the file descriptors that are not reserved: three fifths are for clients, the rest for endpoints.
struct DescriptorBudget {
    clients: u32,
    endpoints: usize,
    /// Number of clients from which they count as a crowd.
    crowd_connections: usize,
}

impl DescriptorBudget {
    fn new(max_descriptors: usize) -> Self {
        let available = max_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let endpoints = available * 2 / 5;
        let clients = (available - endpoints) as u32;
        DescriptorBudget {
            clients,
            endpoints,
            crowd_connections: max_descriptors * CROWD_PERCENT / 100,
        }
    }

    /// Sets the limit of connections to endpoints, which depends on the machine: the settings in the configuration leave
    /// it unset.
    fn limit_connections(&self, mut settings: Settings) -> Settings {
        settings.limits.max_connections = self.endpoints.try_into().unwrap_or(u32::MAX);
        settings
    }
}

/// Starts to watch the endpoint list in discovery. Applies the last known list from the configuration first, if there
/// is one.
fn spawn_discovery(
    addresses: &ReloadableAddresses,
    known_endpoints: Option<EndpointList>,
    policy: WatchPolicy,
    memory: &Rc<MemoryBudget>,
    driver: &Rc<Driver>,
) {
    let version = known_endpoints.as_ref().map_or(0, |list| list.version);
    if let Some(list) = known_endpoints {
        driver.clone().endpoint_list_changed(list);
    }
    let addr = addresses.discovery.subscribe();
    tokio::task::spawn_local(discovery::run(
        addr,
        version,
        policy,
        memory.clone(),
        driver.clone(),
    ));
}

/// Starts the task that frees at intervals what is no longer needed.
fn spawn_sweeper(driver: Rc<Driver>, memory: Rc<MemoryBudget>) {
    tokio::task::spawn_local(async move {
        loop {
            sleep(SWEEP_INTERVAL).await;
            driver.sweep();
            memory.release_idle();
        }
    });
}
