//! One gateway on real sockets. The decisions are in the library; here are the sockets round it.

mod config;
mod counter;
mod discovery;
mod driver;
mod gossip;
mod http;
mod rate_limited_warning;
mod server;
mod upstream;

use config::Config;
use counter::CounterReplyHandler;
use discovery::{EndpointListHandler, WatchPolicy};
use driver::{Driver, TopologyNames};
use quota_gateway::Settings;
use server::Server;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{watch, Semaphore};
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};
use upstream::ConnectionPool;

/// Descriptors kept for all but clients and backends: log, signals, counter, discovery, peers, listener.
const RESERVED: usize = 32;
/// Clients that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// After SIGTERM new clients are taken in for so long: the front may not have noticed yet.
const ACCEPT_ON: Duration = Duration::from_millis(600);
/// From then on nobody is waited for who has no request open: whoever connected in time has long sent it.
const QUIET: Duration = Duration::from_millis(1000);
/// SIGKILL comes after SIGTERM no sooner than the longest deadline, counted as the first where it is longer, and
/// the second.
const KILLED: (Duration, Duration) = (Duration::from_secs(3), Duration::from_millis(700));
/// So much before that, what is still open is failed: nothing that was taken stays without an answer.
const RESERVE: Duration = Duration::from_millis(300);
/// The last answers are written within this.
const WRITTEN: Duration = Duration::from_millis(150);

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).without_time().init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let run = |runtime: tokio::runtime::Runtime| {
        let config = config::load().map_err(|e| e.to_string())?;
        tokio::task::LocalSet::new().block_on(&runtime, run(config))
    };
    match runtime.map_err(|e| e.to_string()).and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("quota-gateway: {message}");
            ExitCode::from(2)
        }
    }
}

async fn run(config: Config) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let listener = listen(&config).map_err(|e| format!("listen {}: {e}", config.listen))?;
    let peers = match config.gossip.listen.filter(|_| config.settings.limits.gossip) {
        Some(at) => {
            let peers = gossip::GossipSocket::bind(at, config.gossip.peers, config.gossip.broadcast).await;
            Some(Rc::new(peers.map_err(|e| format!("peer_listen {at}: {e}"))?))
        }
        None => None,
    };
    // Clients hold a third of the descriptors at most for requests, and each takes one connection onward.
    let free = config.max_sockets.saturating_sub(RESERVED);
    let onward = free * 2 / 5;
    let places = free - onward;
    let backends = ConnectionPool::new(onward, config.connect_timeout_ms, config.idle_timeout_ms);
    let (move_discovery, discovery) = watch::channel(config.discovery);
    let counter = config.settings.counter.and_then(|c| Some((c.timeout_ms, watch::channel(config.counter?))));
    let (lanes, ends) = counter::CounterClient::new();
    let names = TopologyNames { zones: config.zone_names, kinds: config.kind_names };
    let mut settings = config.settings;
    settings.limits.max_connections = onward.try_into().unwrap_or(u32::MAX);
    let lanes = counter.as_ref().map(|_| lanes);
    let driver = Driver::new(settings.clone(), config.seed, names, backends, lanes, peers.clone());
    if let Some((timeout_ms, (_, addr))) = &counter {
        let replies: Rc<dyn CounterReplyHandler> = driver.clone();
        counter::spawn(ends, addr, *timeout_ms, replies);
    }
    let watch_policy = WatchPolicy::new(&settings, config.seed);
    let version = config.known_endpoints.as_ref().map_or(0, |known| known.version);
    if let Some(known) = config.known_endpoints {
        driver.clone().endpoint_list_changed(known);
    }
    tokio::task::spawn_local(discovery::run(discovery, version, watch_policy, driver.clone()));
    if let Some(peers) = peers {
        tokio::task::spawn_local(gossip::run(peers, config.gossip.max_messages_per_second, driver.clone()));
    }
    let sweeper = driver.clone();
    tokio::task::spawn_local(async move {
        loop {
            sleep(Duration::from_secs(1)).await;
            sweeper.sweep();
        }
    });
    let free = Arc::new(Semaphore::new(places));
    let server = Server::new(driver.clone(), &settings, config.class_names, config.plan_names, free.clone());
    let (close, closing) = watch::channel(false);
    tracing::info!("listening on {}", listener.local_addr().map_err(|e| e.to_string())?);
    let accept = tokio::task::spawn_local(server.clone().accept(listener, closing));

    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hangup.recv() => {}
        }
        // A file with any fault changes nothing. Both parties move even if the address is the same: at it
        // another one may have taken over.
        match config::load() {
            Ok(new) => {
                let _ = move_discovery.send(new.discovery);
                if let (Some((_, (moved, _))), Some(addr)) = (&counter, new.counter) {
                    let _ = moved.send(addr);
                }
                tracing::info!("SIGHUP: the configuration is read anew");
            }
            Err(fault) => tracing::warn!("SIGHUP: the old configuration stands: {fault}"),
        }
    }
    let at = Instant::now();
    server.drain();
    sleep(ACCEPT_ON).await;
    // Connections end between requests, those that are answering after it. What has come is taken in first, also
    // after a pause of the whole program; then nobody listens any more.
    yield_now().await;
    let _ = close.send(true);
    let stop = accept.abort_handle();
    if timeout(WRITTEN, accept).await.is_err() {
        stop.abort();
    }
    // All places are free once the last connection has ended. One that never sent a request need not.
    let ended = free.clone().acquire_many_owned(places as u32);
    tokio::select! {
        _ = timeout_at(at + answered_within(&settings), ended) => {}
        () = quiet(&server, at + QUIET) => {}
    }
    if server.busy() {
        driver.fail_open_requests();
        let _ = timeout(WRITTEN, free.acquire_many(places as u32)).await;
    }
    Ok(())
}

/// Waits until so late, and from then on until no request is open.
async fn quiet(server: &Server, from: Instant) {
    sleep_until(from).await;
    while server.busy() {
        sleep(Duration::from_millis(5)).await;
    }
}

/// How long after SIGTERM requests may stay open.
fn answered_within(settings: &Settings) -> Duration {
    let longest = settings.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let longest = Duration::from_secs_f64(longest.clamp(0.0, 86_400_000.0) / 1000.0).min(KILLED.0);
    longest + KILLED.1 - RESERVE
}

fn listen(config: &Config) -> std::io::Result<TcpListener> {
    let socket = if config.listen.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A restart finds the address free, though connections of the former process linger.
    socket.set_reuseaddr(true)?;
    socket.bind(config.listen)?;
    socket.listen(BACKLOG)
}

#[cfg(test)]
mod tests {
    use super::*;
    use quota_gateway::Class;

    #[test]
    fn all_is_answered_before_sigkill_whatever_the_deadlines() {
        for (deadlines, killed_ms) in
            [(vec![400.0], 1100), (vec![2500.0, 900.0], 3200), (vec![7500.0], 3700), (vec![f64::NAN], 700)]
        {
            let class = |deadline_ms| Class { deadline_ms, ..Class::default() };
            let classes = deadlines.into_iter().map(class).collect();
            let within = answered_within(&Settings { classes, ..Settings::default() });
            let killed = Duration::from_millis(killed_ms);
            assert!(within + WRITTEN < killed, "{within:?} of {killed:?}");
            assert!(within + Duration::from_millis(350) > killed, "it waits as long as it may: {within:?}");
        }
    }
}
