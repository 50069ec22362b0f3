//! The load of a run: clients that make requests at even times.

use ::stand_ins::connection::Connection;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, Instant};

/// Clients of each gateway; each has one request in flight at a time.
const CLIENTS_PER_GATEWAY: u32 = 8;
/// Customers that one client's requests belong to, and the distance between those of two clients.
const CUSTOMERS_PER_CLIENT: u64 = 61;
const CUSTOMER_STRIDE: u64 = 1009;
const STATUS_OK: u16 = 200;

/// What clients got.
#[derive(Default)]
pub(super) struct ResponseFigures {
    pub(super) served: u64,
    /// Rejected, failed or not answered.
    pub(super) other: u64,
    /// Times of the served ones.
    pub(super) latencies_ms: Vec<f64>,
}

impl ResponseFigures {
    fn add(&mut self, more: ResponseFigures) {
        self.served += more.served;
        self.other += more.other;
        self.latencies_ms.extend(more.latencies_ms);
    }
}

/// Makes requests at all gateways for some time, at each `requests_per_s`.
pub(super) async fn run_clients(
    gateways: &[SocketAddr],
    requests_per_s: u32,
    duration: Duration,
) -> ResponseFigures {
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
    let mut figures = ResponseFigures::default();
    while let Some(ended) = clients.join_next().await {
        figures.add(ended.unwrap_or_default());
    }
    figures
}

struct Client {
    number: u64,
    gateway: SocketAddr,
    interval: Duration,
    start_delay: Duration,
    duration: Duration,
}

impl Client {
    /// Makes requests at even times; those that fell due while one took follow at once.
    async fn run(self) -> ResponseFigures {
        sleep(self.start_delay).await;
        let count = (self.duration.as_secs_f64() / self.interval.as_secs_f64()).floor() as u64;
        let mut due = interval(self.interval);
        let mut connection = ClientConnection::new(self.gateway);
        let mut figures = ResponseFigures::default();
        for turn in 0..count {
            due.tick().await;
            let started_at = Instant::now();
            match self.request(&mut connection, turn).await {
                Ok(STATUS_OK) => {
                    figures.served += 1;
                    figures
                        .latencies_ms
                        .push(started_at.elapsed().as_secs_f64() * 1000.0);
                }
                _ => figures.other += 1,
            }
        }
        figures
    }

    async fn request(&self, connection: &mut ClientConnection, turn: u64) -> io::Result<u16> {
        let customer = self.number * CUSTOMER_STRIDE + turn % CUSTOMERS_PER_CLIENT;
        let transaction = self.number << 32 | turn;
        let request = format!(
            "GET /look?account={customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {transaction:016x}\r\n\
             X-Lane: look\r\nX-Plan: plus\r\nX-Remaining-Ms: 2500\r\nX-Quota: units=1,spread=1,first=0\r\n\r\n"
        );
        match connection.request(&request).await {
            Ok(status) => Ok(status),
            // The gateway may have closed the connection meanwhile: once more on a new one.
            Err(_) => connection.request(&request).await,
        }
    }
}

/// A client's connection to a gateway, opened when it is needed.
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

    /// Makes a request and returns the response's status. After an error the next request opens a new connection.
    pub(super) async fn request(&mut self, request: &str) -> io::Result<u16> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::new(TcpStream::connect(self.gateway).await?),
        };
        connection.send(request.as_bytes()).await?;
        let response = connection
            .receive()
            .await?
            .ok_or_else(|| io::Error::other("closed"))?;
        if !response.closes_connection() {
            self.connection = Some(connection);
        }
        Ok(response.status())
    }
}
