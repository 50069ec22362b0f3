//! The clients of a crowd.

use super::ordinary::Outcome;
use super::requests::{chunked_head, get_head, post_head, MAX_BODY_BYTES};
use super::scenario::CrowdKind;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use socket2::SockRef;
use stand_ins::connection::Connection;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Delay after a connection was refused.
const REFUSED_DELAY: Duration = Duration::from_millis(100);
/// A member that stays waits this long for its error or close, which it is owed within 3 s.
const MAX_STAY: Duration = Duration::from_secs(5);
/// Length of a piece of a slow body, and the pause after it.
const SLOW_PIECE_BYTES: usize = 700;
const SLOW_PIECE_INTERVAL: Duration = Duration::from_millis(30);
/// Length of a short piece.
const SHORT_PIECE_BYTES: usize = 64;
/// Number of short fields in a head with many.
const SHORT_FIELDS: usize = 80;
/// Length of the long field of a long head.
const LONG_FIELD_BYTES: usize = 14_000;
/// Number of requests that are sent at once.
const PIPELINED_REQUESTS: usize = 4;
/// Number of requests whose responses are not read.
const UNREAD_REQUESTS: usize = 8;
/// Number of chunks of one byte.
const CHUNKS: usize = 4000;
/// Size of one read.
const READ_BYTES: usize = 4096;

static BODY: [u8; MAX_BODY_BYTES] = [b'b'; MAX_BODY_BYTES];

/// Interval at which all permitted clients send requests, and the time in it at which they send the last byte.
const PERMITTED_INTERVAL: Duration = Duration::from_millis(1200);
const LAST_BYTE_AFTER: Duration = Duration::from_millis(400);

/// One client of a crowd.
pub struct Member {
    /// What the client does.
    pub kind: CrowdKind,
    /// Address of the gateway.
    pub gateway: SocketAddr,
    /// Time until the client connects again.
    pub pause: Duration,
    /// Time at which the crowd starts.
    pub starts_at: Instant,
    /// Time at which the client stops.
    pub ends_at: Instant,
    /// What permitted clients got.
    pub results: PermittedResults,
    /// Random draws of the client.
    pub rng: ChaCha8Rng,
}

impl Member {
    /// Connects again and again, until the end of the load.
    pub async fn run(self) {
        if self.kind == CrowdKind::Permitted {
            self.run_permitted().await;
        } else {
            self.run_misbehaving().await;
        }
    }

    /// Sends requests together with all others, as long as the gateway has to serve them.
    async fn run_permitted(self) {
        let mut next_at = self.starts_at;
        while next_at + PERMITTED_INTERVAL < self.ends_at {
            sleep_until(next_at).await;
            let outcome = self.request(next_at + LAST_BYTE_AFTER).await;
            self.results.add(outcome.unwrap_or(Outcome::Closed));
            next_at += PERMITTED_INTERVAL;
        }
    }

    /// Sends a request but for its last byte, and that byte at the given time.
    async fn request(&self, last_byte_at: Instant) -> io::Result<Outcome> {
        let mut connection = Connection::new(TcpStream::connect(self.gateway).await?);
        connection
            .send(post_head(MAX_BODY_BYTES, "").as_bytes())
            .await?;
        connection.send(&BODY[1..]).await?;
        sleep_until(last_byte_at).await;
        connection.send(&BODY[..1]).await?;
        match timeout(MAX_STAY, connection.receive()).await {
            Ok(response) => Ok(response?.map_or(Outcome::Closed, |response| {
                Outcome::Status(response.status())
            })),
            Err(_) => Ok(Outcome::TimedOut),
        }
    }

    async fn run_misbehaving(mut self) {
        while Instant::now() < self.ends_at {
            match TcpStream::connect(self.gateway).await {
                Ok(stream) => {
                    // An error means that the gateway has closed the connection.
                    let _ = self.misbehave(stream).await;
                    sleep(self.pause).await;
                }
                Err(_) => sleep(REFUSED_DELAY).await,
            }
        }
    }

    async fn misbehave(&mut self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        match self.kind {
            CrowdKind::Idle | CrowdKind::Permitted => {}
            CrowdKind::SlowHead => {
                let head = post_head(MAX_BODY_BYTES, &short_fields());
                let incomplete = &head.as_bytes()[..head.len() - 2];
                write_slowly(&mut stream, incomplete, SHORT_PIECE_BYTES).await?;
            }
            CrowdKind::SlowBody => {
                stream
                    .write_all(post_head(MAX_BODY_BYTES, "").as_bytes())
                    .await?;
                write_slowly(&mut stream, &BODY, SLOW_PIECE_BYTES).await?;
                return read_response(&mut stream).await;
            }
            CrowdKind::HalfBody => self.write_part(&mut stream, "").await?,
            CrowdKind::ShortFields => {
                let head = post_head(MAX_BODY_BYTES, &short_fields());
                stream.write_all(head.as_bytes()).await?;
                stream.write_all(&BODY[1..]).await?;
            }
            CrowdKind::LongHead => self.write_part(&mut stream, &long_field()).await?,
            CrowdKind::ShortPieces => return send_short_pieces(&mut stream).await,
            CrowdKind::Chunked => {
                stream.write_all(chunked_head().as_bytes()).await?;
                for _ in 0..CHUNKS {
                    stream.write_all(b"1\r\nb\r\n").await?;
                }
            }
            CrowdKind::Unread => {
                for _ in 0..UNREAD_REQUESTS {
                    stream.write_all(get_head().as_bytes()).await?;
                }
                // Nothing is read until then.
                sleep(MAX_STAY).await;
            }
            CrowdKind::Pipelined => return pipeline(&mut stream).await,
            CrowdKind::Reset => {
                self.write_part(&mut stream, "").await?;
                SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
                return Ok(());
            }
            CrowdKind::WholeBody => return send_whole_request(&mut stream).await,
        }
        stay(&mut stream).await
    }

    /// Writes a head and a body of 64 KiB up to a random place.
    async fn write_part(&mut self, stream: &mut TcpStream, fields: &str) -> io::Result<()> {
        let head = post_head(MAX_BODY_BYTES, fields);
        stream.write_all(head.as_bytes()).await?;
        let length = self.rng.random_range(1..MAX_BODY_BYTES);
        stream.write_all(&BODY[..length]).await
    }
}

/// What permitted clients got, by its number. The clients run on a thread of their own.
#[derive(Clone, Default)]
pub struct PermittedResults {
    counts: Arc<Mutex<BTreeMap<Outcome, u64>>>,
}

impl PermittedResults {
    fn add(&self, outcome: Outcome) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(outcome).or_default() += 1;
    }

    /// The number of requests by their result.
    pub fn counts(&self) -> BTreeMap<Outcome, u64> {
        self.counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

fn short_fields() -> String {
    let fields: Vec<_> = (0..SHORT_FIELDS)
        .map(|number| {
            format!(
                "a{number}: b
"
            )
        })
        .collect();
    fields.concat()
}

fn long_field() -> String {
    format!("X-Long: {}\r\n", "v".repeat(LONG_FIELD_BYTES))
}

async fn write_slowly(stream: &mut TcpStream, bytes: &[u8], piece_bytes: usize) -> io::Result<()> {
    for piece in bytes.chunks(piece_bytes) {
        stream.write_all(piece).await?;
        sleep(SLOW_PIECE_INTERVAL).await;
    }
    Ok(())
}

async fn send_short_pieces(stream: &mut TcpStream) -> io::Result<()> {
    stream
        .write_all(post_head(MAX_BODY_BYTES, "").as_bytes())
        .await?;
    for piece in BODY.chunks(SHORT_PIECE_BYTES) {
        stream.write_all(piece).await?;
    }
    read_response(stream).await
}

async fn send_whole_request(stream: &mut TcpStream) -> io::Result<()> {
    stream
        .write_all(post_head(MAX_BODY_BYTES, "").as_bytes())
        .await?;
    stream.write_all(&BODY).await?;
    read_response(stream).await
}

/// Sends requests at once, and reads until the gateway closes the connection or has nothing more to send.
async fn pipeline(stream: &mut TcpStream) -> io::Result<()> {
    let (mut reader, mut writer) = stream.split();
    let write = async {
        for _ in 0..PIPELINED_REQUESTS {
            writer
                .write_all(post_head(MAX_BODY_BYTES, "").as_bytes())
                .await?;
            writer.write_all(&BODY).await?;
        }
        Ok(())
    };
    let mut bytes = [0; READ_BYTES];
    let read = async {
        while reader.read(&mut bytes).await? > 0 {}
        io::Result::Ok(())
    };
    let (written, _): (io::Result<()>, _) = tokio::join!(write, timeout(MAX_STAY, read));
    written
}

/// Reads and discards a response, of which a first piece is enough.
async fn read_response(stream: &mut TcpStream) -> io::Result<()> {
    let mut bytes = [0; READ_BYTES];
    timeout(MAX_STAY, stream.read(&mut bytes)).await??;
    Ok(())
}

/// Waits until the gateway closes the connection.
async fn stay(stream: &mut TcpStream) -> io::Result<()> {
    let mut bytes = [0; READ_BYTES];
    timeout(MAX_STAY, async {
        while stream.read(&mut bytes).await? > 0 {}
        Ok(())
    })
    .await?
}
