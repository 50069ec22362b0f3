//! Case: clients send many requests at once on each connection.

use crate::client::body_class;
use crate::http::{ok, MessageReader};
use crate::platform::{serve, spawn, Entry, Gateway, MachineLimits};
use crate::record::Record;
use crate::site::{Site, CENTRALA_KALISZ};
use crate::{Outcome, Run};
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const SITE: &Site = &CENTRALA_KALISZ;
const SERVERS: usize = 9;
/// Time that a quote server works on a request; the site has 73 to 130 ms for `quote-issue`.
const WORK: Duration = Duration::from_millis(80);
/// Clients with requests, under a third of the descriptors.
const CLIENTS: u64 = 150;
const REQUESTS: u64 = 6;
const BODY_BYTES: usize = 24 * 1024;
/// A request without an answer this long after it was written is lost: its time, half a second, and the slack of a rule.
const LOST_AFTER: Duration = Duration::from_millis(SITE.longest_give_up_ms + 500 + 50);

fn serve_requests(stream: &TcpStream, number: usize, record: &Record) -> io::Result<()> {
    let mut writer = stream;
    let mut requests = MessageReader::new(stream);
    while let Some(request) = requests.next()? {
        let id = request.header("x-txn").unwrap_or("").to_owned();
        record.add(format!("run {id} at server {number}"));
        thread::sleep(WORK);
        writer.write_all(&ok(
            "X-Units-Charged: 1\r\n",
            format!("quote for {id}").as_bytes(),
        ))?;
    }
    Ok(())
}

/// What became of the requests of one client.
#[derive(Default)]
struct Seen {
    answered: u64,
    served: u64,
    lost: u64,
}

/// A request whose last byte is written.
struct Written {
    id: u64,
    at: Instant,
}

fn use_gateway(
    gateway: SocketAddr,
    client: u64,
    at_once: bool,
    record: &Arc<Record>,
) -> io::Result<Seen> {
    let ids: Vec<_> = (0..REQUESTS).map(|number| client * 100 + number).collect();
    let mut seen = Seen::default();
    if at_once {
        let connection = Connection::open(gateway)?;
        let written = connection.write(ids, client, record)?;
        connection.read_answers(&written, record, &mut seen);
        return Ok(seen);
    }
    let connection = Connection::open(gateway)?;
    for id in ids {
        let written = connection.write(vec![id], client, record)?;
        connection.read_answers(&written, record, &mut seen);
    }
    Ok(seen)
}

struct Connection {
    stream: TcpStream,
}

impl Connection {
    fn open(gateway: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(gateway)?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream })
    }

    /// Writes requests in a thread of its own, one behind another.
    fn write(
        &self,
        ids: Vec<u64>,
        account: u64,
        record: &Arc<Record>,
    ) -> io::Result<Receiver<Written>> {
        let (sender, written) = channel();
        let mut stream = self.stream.try_clone()?;
        let record = record.clone();
        spawn(move || {
            for id in ids {
                if stream
                    .write_all(&body_class(SITE, id, account, BODY_BYTES))
                    .is_err()
                {
                    record.add(format!("not written {id:016x}"));
                    return;
                }
                record.add(format!("sent {id:016x}"));
                let _ = sender.send(Written {
                    id,
                    at: Instant::now(),
                });
            }
        });
        Ok(written)
    }

    /// Reads the answer to each request that was written.
    fn read_answers(&self, written: &Receiver<Written>, record: &Record, seen: &mut Seen) {
        let mut answers = MessageReader::new(&self.stream);
        let mut ended = None;
        loop {
            // The writer drops its end of the channel once all requests are written or the connection is broken.
            let request = match written.recv_timeout(LOST_AFTER) {
                Ok(request) => request,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let id = request.id;
            if ended.is_none() {
                match next_answer(&self.stream, &mut answers, request.at + LOST_AFTER) {
                    Ok(status) => {
                        record.add(format!("answered {id:016x} {status}"));
                        seen.answered += 1;
                        seen.served += u64::from(status == 200);
                        continue;
                    }
                    Err(error) => ended = Some(error.to_string()),
                }
            }
            let reason = ended.as_deref().unwrap_or("");
            record.add(format!("LOST {id:016x}: {reason}"));
            seen.lost += 1;
        }
    }
}

fn next_answer(
    stream: &TcpStream,
    answers: &mut MessageReader<&TcpStream>,
    until: Instant,
) -> io::Result<u16> {
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    match answers.next() {
        Ok(Some(answer)) => Ok(answer.status()),
        Ok(None) => Err(io::Error::other("the gateway has closed the connection")),
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            Err(io::Error::other("no answer in time"))
        }
        Err(error) => Err(error),
    }
}

pub fn run(run: &Run, record: &Arc<Record>) -> io::Result<Outcome> {
    let mut entries = Vec::new();
    for number in 0..SERVERS {
        let record = record.clone();
        let addr = serve(move |stream| {
            let _ = serve_requests(&stream, number, &record);
        })?;
        entries.push(Entry {
            addr,
            zone: SITE.zones[number % SITE.zones.len()],
        });
    }
    let limits = MachineLimits {
        memory_mb: 32,
        sockets: 1024,
    };
    let mut gateway = Gateway::start(&run.folder, SITE, &entries, limits)?;
    let (addr, at_once) = (gateway.addr, run.trouble);
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|client| {
            let record = record.clone();
            spawn(move || use_gateway(addr, client, at_once, &record))
        })
        .collect();
    let mut seen = Seen::default();
    for client in clients {
        let one = client
            .join()
            .map_err(|_| io::Error::other("a client failed"))??;
        seen.answered += one.answered;
        seen.served += one.served;
        seen.lost += one.lost;
    }
    if !gateway.is_running() {
        record.say("the gateway has ended by itself".to_owned());
        return Ok(Outcome::Broken);
    }
    record.say(format!(
        "requests {}, answered {}, served {}, lost {}; largest memory of the gateway {} KiB",
        CLIENTS * REQUESTS,
        seen.answered,
        seen.served,
        seen.lost,
        gateway.memory_kib("VmHWM").unwrap_or(0)
    ));
    Ok(if seen.lost > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
