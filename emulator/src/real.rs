//! Real gateways: stand-ins on loopback for all that they meet, and what the system tells of their processes.

use crate::report::Spread;
use crate::slopes::memory_of_kb;
use clap::Args;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{interval, sleep, timeout, Instant};

/// Bounds of one play, so that it ends by itself and leaves the machine usable.
const GATEWAYS_MOST: u32 = 50;
const SECONDS_MOST: u32 = 120;
const RATE_MOST: u32 = 2000;
const BACKENDS_MOST: u32 = 20_000;
/// Clients of each gateway; each has one request open at a time.
const CLIENTS: u32 = 8;
/// A gateway is ready within this or not at all.
const READY: Duration = Duration::from_secs(30);
/// Ticks of processor time a second, as the system counts them for processes.
const TICKS: f64 = 100.0;

/// What to play.
#[derive(Args, Clone, Debug)]
pub struct Rig {
    /// The gateway's program.
    #[arg(long, default_value = "target/release/quota-gateway")]
    program: PathBuf,
    /// Gateways side by side.
    #[arg(long, default_value_t = 1)]
    gateways: u32,
    /// Entries of the list.
    #[arg(long, default_value_t = 1000)]
    backends: u32,
    /// Requests a second at each gateway.
    #[arg(long, default_value_t = 100)]
    requests_per_s: u32,
    /// Seconds at rest, and again under load.
    #[arg(long, default_value_t = 5)]
    seconds: u32,
    /// Time that a backend takes, in ms.
    #[arg(long, default_value_t = 20)]
    work_ms: u32,
}

/// Bytes and messages that the stand-ins of one gateway's surroundings saw.
#[derive(Default)]
struct Seen {
    calls: Cell<u64>,
    calls_bytes: Cell<u64>,
    list_calls: Cell<u64>,
    list_bytes: Cell<u64>,
    requests: Cell<u64>,
}

fn add(cell: &Cell<u64>, more: usize) {
    cell.set(cell.get() + more as u64);
}

/// One gateway's process.
struct Process {
    child: Child,
    addr: SocketAddr,
    config: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.start_kill();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// What the system tells of a process.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    cpu_s: f64,
    resident_kb: f64,
    descriptors: f64,
}

impl Process {
    fn usage(&self) -> Usage {
        let Some(pid) = self.child.id() else { return Usage::default() };
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        // The name may hold anything; the figures follow its closing bracket.
        let fields: Vec<_> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |place: usize| fields.get(place).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        Usage {
            cpu_s: (ticks(11) + ticks(12)) / TICKS,
            resident_kb: memory_of_kb(&pid.to_string(), "VmHWM"),
            descriptors: descriptors as f64,
        }
    }
}

impl Rig {
    /// Plays it and returns the figures, a line each; an error is one line.
    pub fn play(&self) -> Result<String, String> {
        for (field, value, most) in [
            ("--gateways", self.gateways, GATEWAYS_MOST),
            ("--backends", self.backends, BACKENDS_MOST),
            ("--requests-per-s", self.requests_per_s, RATE_MOST),
            ("--seconds", self.seconds, SECONDS_MOST),
            ("--work-ms", self.work_ms, 10_000),
        ] {
            if !(1..=most).contains(&value) {
                return Err(format!("{field}: {value} is not within 1 to {most}"));
            }
        }
        if !self.program.is_file() {
            return Err(format!("--program: {} is not there", self.program.display()));
        }
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| e.to_string())?;
        LocalSet::new().block_on(&runtime, self.run()).map_err(|e| e.to_string())
    }

    async fn run(&self) -> std::io::Result<String> {
        let seen = Rc::new(Seen::default());
        let backends = listen().await?;
        let counter = listen().await?;
        let discovery = listen().await?;
        let servers = self.servers(backends.local_addr()?);
        let list = format!("{{\"version\":8,\"full\":true,\"servers\":[{}]}}\n", servers.join(","));
        let (counter_at, discovery_at) = (counter.local_addr()?, discovery.local_addr()?);
        spawn_local(serve_backends(backends, seen.clone(), Duration::from_millis(self.work_ms.into())));
        spawn_local(serve_counter(counter, seen.clone()));
        spawn_local(serve_discovery(discovery, seen.clone(), Rc::new(list)));
        let mut processes = Vec::new();
        let begun = Instant::now();
        for number in 0..self.gateways {
            processes.push(self.start(number, counter_at, discovery_at, &servers[0]).await?);
        }
        for process in &processes {
            until_ready(process.addr).await?;
        }
        let ready_s = begun.elapsed().as_secs_f64();
        sleep(Duration::from_secs(1)).await;

        let usages = |processes: &[Process]| processes.iter().map(Process::usage).collect::<Vec<_>>();
        let span = Duration::from_secs(self.seconds.into());
        let (before, list_before) = (usages(&processes), seen.list_bytes.get());
        sleep(span).await;
        let (rested, list_bytes) = (usages(&processes), seen.list_bytes.get() - list_before);
        let (calls, calls_bytes) = (seen.calls.get(), seen.calls_bytes.get());
        let answers = Rc::new(RefCell::new(Answers::default()));
        let clients: Vec<_> = processes
            .iter()
            .flat_map(|process| (0..CLIENTS).map(move |client| (process.addr, client)))
            .enumerate()
            .map(|(number, (addr, client))| {
                let (rig, answers) = (self.clone(), answers.clone());
                spawn_local(async move { rig.client(number as u64, addr, client, answers).await })
            })
            .collect();
        for client in clients {
            let _ = client.await;
        }
        let loaded = usages(&processes);
        let (calls, calls_bytes) = (seen.calls.get() - calls, seen.calls_bytes.get() - calls_bytes);

        let answers = answers.take();
        let each = f64::from(self.gateways);
        let requests = answers.served + answers.other;
        let cpu =
            |from: &[Usage], to: &[Usage]| from.iter().zip(to).map(|(a, b)| b.cpu_s - a.cpu_s).sum::<f64>();
        let (rest, load) = (cpu(&before, &rested), cpu(&rested, &loaded));
        let most = |figure: fn(&Usage) -> f64| loaded.iter().map(figure).fold(0.0, f64::max);
        let seconds = f64::from(self.seconds) * each;
        let times = Spread::of(answers.times_ms);
        Ok(format!(
            "{} gateways, {} entries, {} requests a second each: all ready after {ready_s:.2} s\n\
             calls of discovery: {}, {:.0} KB in all; at rest {:.1} bytes a second for a gateway\n\
             processor at rest: {:.4}% of a core for a gateway; under load {:.2}%, {:.0} us a request\n\
             memory at most: {:.1} MB; descriptors {:.0}\n\
             requests: {} served, {} other; p50 {:.1} ms, p99 {:.1} ms, of which the backend takes {} ms\n\
             counter: {:.3} calls a request, {:.0} bytes a call both ways, {:.0} bytes a second for a gateway\n",
            self.gateways,
            self.backends,
            self.requests_per_s,
            seen.list_calls.get(),
            (list_before as f64) / 1000.0,
            list_bytes as f64 / seconds,
            100.0 * rest / seconds,
            100.0 * load / seconds,
            1e6 * load / (requests.max(1) as f64),
            most(|usage| usage.resident_kb) / 1000.0,
            most(|usage| usage.descriptors),
            answers.served,
            answers.other,
            times.p50,
            times.p99,
            self.work_ms,
            calls as f64 / requests.max(1) as f64,
            calls_bytes as f64 / calls.max(1) as f64,
            calls_bytes as f64 / seconds,
        ))
    }

    /// The list's entries in the protocol's form; all stand at the one address where the stand-in listens.
    fn servers(&self, addr: SocketAddr) -> Vec<String> {
        let entry = |number: u32| {
            let (id, zone, cell) = (number.wrapping_mul(0x9E37_79B9), number % 2, number % 64);
            format!(
                "{{\"id\":\"s-{id:08x}\",\"addr\":\"{addr}\",\"zone\":\"z{zone}\",\"kind\":\"m\",\"cell\":{cell},\
                 \"state\":\"Ready\",\"weight\":1.0,\"started_ms\":0}}"
            )
        };
        (0..self.backends).map(entry).collect()
    }

    /// Starts a gateway that knows one backend: the rest of the list it learns from its agent.
    async fn start(
        &self, number: u32, counter: SocketAddr, discovery: SocketAddr, known: &str,
    ) -> std::io::Result<Process> {
        let known = format!("{{\"version\":7,\"full\":true,\"servers\":[{known}]}}");
        let known: serde_json::Value = serde_json::from_str(&known)?;
        let config = serde_json::json!({
            "name": format!("n{number}"), "listen": "127.0.0.1:0", "discovery": discovery, "counter": counter,
            "seed": format!("{:x}", 0x8c1f_30d2_u64 + u64::from(number)), "known": known,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": {
                "balancers": self.gateways, "position": number, "locality": 0, "zones": ["z0", "z1"], "kinds": ["m"],
                "granularity-ms": 1.0, "membership-mode": "push",
                "categories": [{"name": "look", "aim-ms": 750.0, "give-up-ms": 2500.0, "value": 1.0,
                    "late-worth": 0.0, "effect": "read_like"}],
                "tiers-of-service": [{"name": "plus", "refill": 1000.0, "store-size": 2000.0, "max-out": 0, "pays": 1.0,
                    "extra-worth": 0.0, "excess-cost": 0.5, "cap-rate": 0.0, "cap-depth": 0.0, "ceiling-slack": 0.0}],
                "domain": {"may-count": true, "counter-timeout-ms": 50.0, "count-fee": 0.01, "units-top": 4,
                    "trued-up": true, "peer-intake": 0.0},
                "limits": {"try-limit": 3, "may-duplicate": false, "cancel": true, "probing": false, "peers": false,
                    "retry-after": true, "max-retry-after-ms": 500.0, "connect-timeout-ms": 250.0,
                    "idle-close-ms": 30000.0, "streams-per-conn": 1},
                "penalties": {"cross-zone": 0.013, "waste": 0.16, "probe": 0.0, "late-fail": 0.05, "handshake": 0.01},
                "rules": {"answer-slack-ms": 16.0, "cold-from": 0.16, "warm-up-ms": 15000.0,
                    "drain-grace-ms": 2000.0, "fall-multiple": 4.0, "fall-ms": 1500.0, "ask-within-ms": 10000.0}
            }
        });
        let path = std::env::temp_dir().join(format!("fleet-emulator-{}-{number}.json", std::process::id()));
        std::fs::write(&path, config.to_string())?;
        let mut command = Command::new(&self.program);
        command.env("RELAY_CONFIG", &path).stdin(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn()?;
        let log = child.stderr.take().ok_or_else(|| std::io::Error::other("no log"))?;
        let mut process = Process { child, addr: discovery, config: path };
        let mut lines = BufReader::new(log).lines();
        let listening = async {
            while let Some(line) = lines.next_line().await? {
                if let Some((_, addr)) = line.split_once("listening on ") {
                    return addr.trim().parse().map_err(std::io::Error::other);
                }
            }
            Err(std::io::Error::other("the gateway ended at its start"))
        };
        process.addr =
            timeout(READY, listening).await.map_err(|_| std::io::Error::other("never listens"))??;
        // What it logs later is read and dropped, so that it never waits for us.
        spawn_local(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok(process)
    }

    /// One client: requests at even times, as many as were due while the last one took.
    async fn client(&self, number: u64, addr: SocketAddr, client: u32, answers: Rc<RefCell<Answers>>) {
        let gap = Duration::from_secs_f64(f64::from(CLIENTS) / f64::from(self.requests_per_s));
        sleep(gap * client / CLIENTS).await;
        let count = (f64::from(self.seconds) / gap.as_secs_f64()).floor() as u64;
        let mut due = interval(gap);
        let mut stream = None;
        for turn in 0..count {
            due.tick().await;
            let (customer, txn) = (number * 1009 + turn % 61, number << 32 | turn);
            let text = format!(
                "GET /look?account={customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {txn:016x}\r\nX-Lane: look\r\n\
                 X-Plan: plus\r\nX-Remaining-Ms: 2500\r\nX-Quota: units=1,spread=1,first=0\r\n\r\n"
            );
            let begun = Instant::now();
            let mut answer = ask(&mut stream, addr, &text).await;
            if answer.is_err() {
                // A connection that the gateway closed meanwhile: once more on a new one.
                stream = None;
                answer = ask(&mut stream, addr, &text).await;
            }
            let mut answers = answers.borrow_mut();
            match answer {
                Ok(200) => {
                    answers.served += 1;
                    answers.times_ms.push(begun.elapsed().as_secs_f64() * 1000.0);
                }
                _ => answers.other += 1,
            }
        }
    }
}

#[derive(Default)]
struct Answers {
    served: u64,
    other: u64,
    times_ms: Vec<f64>,
}

async fn listen() -> std::io::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0").await
}

async fn until_ready(addr: SocketAddr) -> std::io::Result<()> {
    let begun = Instant::now();
    while begun.elapsed() < READY {
        let answer = ask(&mut None, addr, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").await;
        if matches!(answer, Ok(200)) {
            return Ok(());
        }
        sleep(Duration::from_millis(10)).await;
    }
    Err(std::io::Error::other("a gateway is never ready"))
}

/// Sends a request and reads its answer; its status.
async fn ask(stream: &mut Option<Peer>, addr: SocketAddr, text: &str) -> std::io::Result<u16> {
    if stream.is_none() {
        *stream = Some(Peer::new(TcpStream::connect(addr).await?)?);
    }
    let Some(peer) = stream else { return Err(std::io::Error::other("no connection")) };
    peer.stream.write_all(text.as_bytes()).await?;
    let (head, _) = peer.message().await?.ok_or_else(|| std::io::Error::other("closed"))?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    if head.to_ascii_lowercase().contains("connection: close") {
        *stream = None;
    }
    status.ok_or_else(|| std::io::Error::other("no status"))
}

/// One connection and what has come on it.
struct Peer {
    stream: TcpStream,
    buf: Vec<u8>,
}

/// Largest head or body that a stand-in takes.
const MESSAGE_MOST: usize = 128 * 1024;

impl Peer {
    fn new(stream: TcpStream) -> std::io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Peer { stream, buf: Vec::new() })
    }

    /// The next message, request or answer: its head and its length in all; none at the end.
    async fn message(&mut self) -> std::io::Result<Option<(String, usize)>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|window| window == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                let length = head.lines().find_map(|line| {
                    let (name, value) = line.split_once(':')?;
                    name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
                });
                let whole = end + 4 + length.unwrap_or(0usize).min(MESSAGE_MOST);
                if self.buf.len() >= whole {
                    self.buf.drain(..whole);
                    return Ok(Some((head, whole)));
                }
            }
            if self.buf.len() > 2 * MESSAGE_MOST {
                return Err(std::io::Error::other("message too long"));
            }
            if self.stream.read_buf(&mut self.buf).await? == 0 {
                return Ok(None);
            }
        }
    }

    async fn say(&mut self, headers: &str, body: &str) -> std::io::Result<usize> {
        let text = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
        self.stream.write_all(text.as_bytes()).await?;
        Ok(text.len())
    }
}

async fn serve_backends(listener: TcpListener, seen: Rc<Seen>, work: Duration) {
    while let Ok((stream, _)) = listener.accept().await {
        let seen = seen.clone();
        spawn_local(async move {
            let mut peer = Peer::new(stream)?;
            while peer.message().await?.is_some() {
                add(&seen.requests, 1);
                sleep(work).await;
                peer.say("X-Units-Charged: 1\r\n", "quote").await?;
            }
            std::io::Result::Ok(())
        });
    }
}

async fn serve_counter(listener: TcpListener, seen: Rc<Seen>) {
    let totals = Rc::new(RefCell::new(HashMap::<String, f64>::new()));
    while let Ok((stream, _)) = listener.accept().await {
        let (seen, totals) = (seen.clone(), totals.clone());
        spawn_local(async move {
            let mut peer = Peer::new(stream)?;
            while let Some((head, bytes)) = peer.message().await? {
                let target = head.split(' ').nth(1).unwrap_or("");
                let (name, query) = target.split_once('?').unwrap_or((target, ""));
                let by = query.split('&').find_map(|part| part.strip_prefix("by=")?.parse::<f64>().ok());
                let total = {
                    let mut totals = totals.borrow_mut();
                    let total = totals.entry(name.to_owned()).or_default();
                    *total += by.unwrap_or(0.0);
                    *total
                };
                let answer = peer.say("", &format!("{total:.3}")).await?;
                add(&seen.calls, 1);
                add(&seen.calls_bytes, bytes + answer);
            }
            std::io::Result::Ok(())
        });
    }
}

/// The agent: the whole list first, in one chunk, then an empty line every 2 s.
async fn serve_discovery(listener: TcpListener, seen: Rc<Seen>, list: Rc<String>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (seen, list) = (seen.clone(), list.clone());
        spawn_local(async move {
            let mut peer = Peer::new(stream)?;
            while let Some((head, _)) = peer.message().await? {
                add(&seen.list_calls, 1);
                if !head.contains("stream=1") {
                    let bytes = peer.say("", &list).await?;
                    add(&seen.list_bytes, bytes);
                    continue;
                }
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let first = format!("{head}{:x}\r\n{list}\r\n", list.len());
                peer.stream.write_all(first.as_bytes()).await?;
                add(&seen.list_bytes, first.len());
                loop {
                    sleep(Duration::from_secs(2)).await;
                    peer.stream.write_all(b"1\r\n\n\r\n").await?;
                    add(&seen.list_bytes, 6);
                }
            }
            std::io::Result::Ok(())
        });
    }
}
