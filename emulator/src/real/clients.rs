//! Clients of a run, which make requests at a constant rate.

use ::stand_ins::connection::Connection;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, Instant};

/// Number of clients of each gateway. A client has at most one request in flight.
const CLIENTS_PER_GATEWAY: u32 = 8;
/// Number of customers whose requests one client makes.
const CUSTOMERS_PER_CLIENT: u64 = 61;
/// Distance between the first customer ids of consecutive clients.
const CUSTOMER_STRIDE: u64 = 1009;
const STATUS_OK: u16 = 200;

/// Responses that the clients received.
#[derive(Default)]
pub(super) struct ResponseStats {
    pub(super) served: u64,
    /// Requests that were rejected, failed or not answered.
    pub(super) not_served: u64,
    /// Response times of the served requests.
    pub(super) latencies_ms: Vec<f64>,
}

impl ResponseStats {
    fn add(&mut self, more: ResponseStats) {
        self.served += more.served;
        self.not_served += more.not_served;
        self.latencies_ms.extend(more.latencies_ms);
    }
}

/// Makes `requests_per_s` requests per second to each gateway for the given duration.
pub(super) async fn run_clients(
    gateways: &[SocketAddr],
    requests_per_s: u32,
    duration: Duration,
) -> ResponseStats {
    let interval =
        Duration::from_secs_f64(f64::from(CLIENTS_PER_GATEWAY) / f64::from(requests_per_s));
    let mut clients = JoinSet::new();
    let mut number = 0;
    for gateway in gateways {
        for client_of_gateway in 0..CLIENTS_PER_GATEWAY {
            let start_delay = interval * client_of_gateway / CLIENTS_PER_GATEWAY;
            let client = Client {
                number,
                gateway: *gateway,
                interval,
                start_delay,
                duration,
            };
            clients.spawn_local(client.run());
            number += 1;
        }
    }
    let mut stats = ResponseStats::default();
    while let Some(ended) = clients.join_next().await {
        stats.add(ended.unwrap_or_default());
    }
    stats
}

struct Client {
    number: u64,
    gateway: SocketAddr,
    interval: Duration,
    start_delay: Duration,
    duration: Duration,
}

impl Client {
    /// Makes requests at a constant interval. Requests that became due during a slow one follow immediately.
    async fn run(self) -> ResponseStats {
        sleep(self.start_delay).await;
        let count = (self.duration.as_secs_f64() / self.interval.as_secs_f64()).floor() as u64;
        let mut ticker = interval(self.interval);
        let mut connection = ClientConnection::new(self.gateway);
        let mut stats = ResponseStats::default();
        for index in 0..count {
            ticker.tick().await;
            let started_at = Instant::now();
            match self.request(&mut connection, index).await {
                Ok(STATUS_OK) => {
                    stats.served += 1;
                    stats
                        .latencies_ms
                        .push(started_at.elapsed().as_secs_f64() * 1000.0);
                }
                _ => stats.not_served += 1,
            }
        }
        stats
    }

    async fn request(&self, connection: &mut ClientConnection, index: u64) -> io::Result<u16> {
        let customer = self.number * CUSTOMER_STRIDE + index % CUSTOMERS_PER_CLIENT;
        let transaction = self.number << 32 | index;
        let request = format!(
            "GET /look?account={customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {transaction:016x}\r\n\
             X-Lane: look\r\nX-Plan: plus\r\nX-Remaining-Ms: 2500\r\nX-Quota: units=1,spread=1,first=0\r\n\r\n"
        );
        match connection.request(&request).await {
            Ok(status) => Ok(status),
            // The gateway may have closed the idle connection; the request is repeated once on a new one.
            Err(_) => connection.request(&request).await,
        }
    }
}

/// A client's connection to a gateway, opened by the first request.
pub(super) struct ClientConnection {
    gateway: SocketAddr,
    connection: Option<Connection>,
}

impl ClientConnection {
    pub(super) fn new(gateway: SocketAddr) -> Self {
        ClientConnection {
            gateway,
            connection: None,
        }
    }

    /// Makes a request and returns the status of the response. After an error the next request opens a new connection.
    pub(super) async fn request(&mut self, request: &str) -> io::Result<u16> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::new(TcpStream::connect(self.gateway).await?),
        };
        connection.send(request.as_bytes()).await?;
        let response = connection.receive().await?.ok_or_else(|| {
            io::Error::other("the gateway closed the connection without a response")
        })?;
        if !response.closes_connection() {
            self.connection = Some(connection);
        }
        Ok(response.status())
    }
}
