//! Two cases of spoilt answers under ordinary traffic: a quote server's second answer comes some milliseconds late, or the
//! length of an answer does not fit.

use crate::client::{body_class, safe_class};
use crate::http::{ok, MessageReader};
use crate::platform::{serve, spawn, Entry, Gateway, MachineLimits};
use crate::proxy;
use crate::record::Record;
use crate::site::{Site, CENTRALA_KALISZ};
use crate::{Outcome, Run};
use std::collections::HashMap;
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SITE: &Site = &CENTRALA_KALISZ;
const SERVERS: usize = 9;
/// One way between two rooms; the site has 1.4 to 2.6 ms.
const CROSS_ROOM: Duration = Duration::from_millis(2);
/// Time that a quote server works on a request; the site has 44 to 76 ms for `price-calc`.
const WORK: Duration = Duration::from_millis(60);
/// Time from an answer to its second copy.
const LATE: Duration = Duration::from_millis(12);
/// One answer in this many is spoilt.
const SPOILT_EVERY: u64 = 10;
/// Bytes of the body that a length leaves out if it does not fit.
const LEFT_OUT: usize = 15;
/// The true units of each request.
const UNITS: &str = "X-Units-Charged: 1\r\n";
const CLIENTS: u64 = 20;
/// Mean time from an answer to the client's next request: with the work, about 140 requests a second.
const PAUSE_MS: u64 = 75;
const LENGTH: Duration = Duration::from_secs(25);

/// What is wrong with a spoilt answer.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It is good, but a second copy of it follows.
    LateSecondCopy,
    /// Its `Content-Length` is shorter than its body.
    ShortLength,
}

/// What the quote servers did.
struct Servers {
    /// `None` if no answer is spoilt.
    fault: Option<Fault>,
    answers: AtomicU64,
    spoilt: AtomicU64,
    /// The answers that were made for each request, one for each run.
    made: Mutex<HashMap<u64, Vec<Vec<u8>>>>,
}

impl Servers {
    fn serve(&self, number: usize, stream: &TcpStream, record: &Record) -> io::Result<()> {
        let mut writer = stream;
        let mut requests = MessageReader::new(stream);
        while let Some(request) = requests.next()? {
            let id = u64::from_str_radix(request.header("x-txn").unwrap_or(""), 16).unwrap_or(0);
            record.add(format!("run {id:016x} at server {number}"));
            thread::sleep(WORK);
            let body = format!("quote for {id:016x} by server {number}: 1234.56 PLN a month");
            let mut made = self.made.lock().expect("no thread panics with the lock");
            made.entry(id).or_default().push(body.clone().into_bytes());
            drop(made);
            let count = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
            let fault = self.fault.filter(|_| count % SPOILT_EVERY == 0);
            let answer = ok(UNITS, body.as_bytes());
            match fault {
                None => writer.write_all(&answer)?,
                Some(Fault::LateSecondCopy) => {
                    writer.write_all(&answer)?;
                    thread::sleep(LATE);
                    // Only when nothing else is waiting on the connection.
                    if !requests.has_rest() && nothing_waits(stream)? {
                        writer.write_all(&answer)?;
                        self.spoilt.fetch_add(1, Ordering::Relaxed);
                        record.add(format!(
                            "second copy of the answer to {id:016x} by server {number}"
                        ));
                    }
                }
                Some(Fault::ShortLength) => {
                    let (begin, rest) = body.split_at(body.len() - LEFT_OUT);
                    let short = ok(UNITS, begin.as_bytes());
                    writer.write_all(&[&short, rest.as_bytes()].concat())?;
                    self.spoilt.fetch_add(1, Ordering::Relaxed);
                    record.add(format!(
                        "the length of the answer to {id:016x} by server {number} does not fit"
                    ));
                    // The connection stays open and is of no further use.
                    while requests.next()?.is_some() {}
                    return Ok(());
                }
            }
        }
        Ok(())
    }
}

fn nothing_waits(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    match peeked {
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(true),
        Err(error) => Err(error),
        Ok(_) => Ok(false),
    }
}

/// What the clients saw.
#[derive(Default)]
struct Seen {
    sent: u64,
    served: u64,
    wrong: u64,
}

struct Client {
    account: u64,
    gateway: SocketAddr,
    connection: Option<(TcpStream, MessageReader<TcpStream>)>,
    random: u64,
}

impl Client {
    fn random(&mut self, below: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.random >> 33) % below
    }

    /// Sends a request and returns the status and the body. A connection that the gateway has closed between requests is
    /// replaced once.
    fn exchange(&mut self, request: &[u8]) -> io::Result<(u16, Vec<u8>)> {
        for last in [false, true] {
            if self.connection.is_none() {
                let stream = TcpStream::connect(self.gateway)?;
                stream.set_nodelay(true)?;
                stream
                    .set_read_timeout(Some(Duration::from_millis(SITE.longest_give_up_ms + 500)))?;
                let reader = MessageReader::new(stream.try_clone()?);
                self.connection = Some((stream, reader));
            }
            let (stream, reader) = self.connection.as_mut().expect("it was just opened");
            match stream.write_all(request).and_then(|()| reader.next()) {
                Ok(Some(answer)) => return Ok((answer.status(), answer.body)),
                result => {
                    self.connection = None;
                    if last {
                        result?;
                    }
                }
            }
        }
        Err(ErrorKind::UnexpectedEof.into())
    }
}

pub fn run(run: &Run, fault: Fault, record: &Arc<Record>) -> io::Result<Outcome> {
    let servers = Arc::new(Servers {
        fault: run.trouble.then_some(fault),
        answers: AtomicU64::new(0),
        spoilt: AtomicU64::new(0),
        made: Mutex::default(),
    });
    let mut entries = Vec::new();
    for number in 0..SERVERS {
        let (servers, record) = (servers.clone(), record.clone());
        let addr = serve(move |stream| {
            let _ = servers.serve(number, &stream, &record);
        })?;
        let zone = SITE.zones[number % SITE.zones.len()];
        // The gateway stands in the first room.
        let addr = if zone == SITE.zones[0] {
            addr
        } else {
            proxy::start(addr, CROSS_ROOM)?
        };
        entries.push(Entry { addr, zone });
    }
    let limits = MachineLimits {
        memory_mb: 192,
        sockets: 1024,
    };
    let mut gateway = Gateway::start(&run.folder, SITE, &entries, limits)?;
    let next_id = Arc::new(AtomicU64::new(1));
    let end = Instant::now() + LENGTH;
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|account| {
            let client = Client {
                account,
                gateway: gateway.addr,
                connection: None,
                random: account,
            };
            let (servers, record, next_id) = (servers.clone(), record.clone(), next_id.clone());
            spawn(move || use_gateway(client, end, &servers, &record, &next_id))
        })
        .collect();
    let mut seen = Seen::default();
    for client in clients {
        let one = client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?;
        seen.sent += one.sent;
        seen.served += one.served;
        seen.wrong += one.wrong;
    }
    if !gateway.is_running() {
        record.say("the gateway has ended by itself".to_owned());
        return Ok(Outcome::Broken);
    }
    record.say(format!(
        "sent {}, served {}, spoilt answers {}, served with anything but the own answer {}",
        seen.sent,
        seen.served,
        servers.spoilt.load(Ordering::Relaxed),
        seen.wrong
    ));
    if seen.served < seen.sent / 2 {
        return Ok(Outcome::NotRun);
    }
    Ok(if seen.wrong > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

fn use_gateway(
    mut client: Client,
    end: Instant,
    servers: &Servers,
    record: &Record,
    next_id: &AtomicU64,
) -> Seen {
    let mut seen = Seen::default();
    while Instant::now() < end {
        let id = next_id.fetch_add(1, Ordering::Relaxed);
        let is_quote_issue = client.random(100) < 31;
        let request = if is_quote_issue {
            body_class(SITE, id, client.account, 200)
        } else {
            safe_class(SITE, id, client.account)
        };
        seen.sent += 1;
        record.add(format!("sent {id:016x}"));
        match client.exchange(&request) {
            Ok((200, body)) => {
                seen.served += 1;
                let made = servers.made.lock().expect("no thread panics with the lock");
                let is_own = made.get(&id).is_some_and(|made| made.contains(&body));
                drop(made);
                let text = String::from_utf8_lossy(&body).into_owned();
                let mark = if is_own { "" } else { " WRONG" };
                record.add(format!("answered {id:016x} 200 {text:?}{mark}"));
                seen.wrong += u64::from(!is_own);
            }
            Ok((status, _)) => record.add(format!("answered {id:016x} {status}")),
            Err(error) => record.add(format!("no answer to {id:016x}: {error}")),
        }
        thread::sleep(Duration::from_millis(client.random(2 * PAUSE_MS)));
    }
    seen
}
