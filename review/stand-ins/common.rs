//! Small stand-ins for the cases of this review: quote servers, discovery, the counter, clients and the platform that
//! starts a gateway. Standard library only; all sockets are on 127.0.0.1.

#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The record of one run: what was sent, answered and run. Each line carries the time since the start, in seconds.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates `record.txt` in the case's folder, which is the current one.
    pub fn new() -> Self {
        let file = File::create("record.txt").expect("record.txt can be written");
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.seconds(), text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
        let _ = file.flush();
    }

    /// Records and prints a line.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// False if the run is to be made without the disruption.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the run as one that could not be made.
pub fn cannot_run(record: &Record, text: &str) -> ! {
    record.say(format!("CANNOT RUN: {text}"));
    std::process::exit(2);
}

/// An HTTP message as read from a stream.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let word = self.first_line.split_whitespace().nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message whose body is framed by `Content-Length`. `None` if the stream ends or breaks before its end.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    let mut message = Message {
        first_line: first_line.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    };
    let length = message.header("content-length").unwrap_or("0");
    message.body.resize(length.parse().ok()?, 0);
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Encodes a response.
pub fn response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status} Answer\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// What a server does after a request.
pub enum Reply {
    Send(Vec<u8>),
    /// Nothing, until the peer closes the connection or the server is stopped.
    Hold,
    /// Closes the connection without an answer.
    Close,
}

type Handler = dyn Fn(&Message) -> Reply + Send + Sync;

/// A server with a thread for each connection.
pub struct Server {
    pub addr: SocketAddr,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    stopped: Arc<AtomicBool>,
}

impl Server {
    pub fn start(handler: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        Server::start_on(listener, handler)
    }

    pub fn start_on(
        listener: TcpListener,
        handler: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let addr = listener.local_addr().expect("the listener has an address");
        let connections = Arc::new(Mutex::new(Vec::new()));
        let stopped = Arc::new(AtomicBool::new(false));
        let handler: Arc<Handler> = Arc::new(handler);
        let server = Server {
            addr,
            connections: connections.clone(),
            stopped: stopped.clone(),
        };
        listener.set_nonblocking(true).expect("non-blocking accept");
        thread::spawn(move || loop {
            if stopped.load(Ordering::SeqCst) {
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    connections
                        .lock()
                        .unwrap()
                        .push(stream.try_clone().unwrap());
                    let handler = handler.clone();
                    thread::spawn(move || serve(stream, handler.as_ref()));
                }
                Err(_) => thread::sleep(Duration::from_millis(4)),
            }
        });
        server
    }

    /// Ends the server as the death of its process does: its connections are reset and new ones are refused.
    pub fn die(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        // The listener is dropped by its own thread.
        thread::sleep(Duration::from_millis(10));
        self.reset_connections();
    }

    /// Resets all connections. The server still accepts new ones.
    pub fn reset_connections(&self) {
        for stream in self.connections.lock().unwrap().drain(..) {
            reset(stream);
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(message) = read_message(&mut reader) {
        match handler(&message) {
            Reply::Send(bytes) => {
                if (&stream).write_all(&bytes).is_err() {
                    return;
                }
            }
            Reply::Hold => {
                let _ = reader.read(&mut [0; 1]);
                return;
            }
            Reply::Close => return,
        }
    }
}

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Resets a connection, also if another thread holds a handle of it.
pub fn reset(stream: TcpStream) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    const AF_UNSPEC: u16 = 0;
    extern "C" {
        fn connect(fd: i32, addr: *const u16, length: u32) -> i32;
    }
    let linger = [1_i32, 0];
    let disconnect = [AF_UNSPEC; 8];
    // SAFETY: both calls get a valid descriptor and a buffer of the stated length.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            linger.as_ptr(),
            8,
        );
        // Connecting to an unspecified address resets a connection at once.
        connect(stream.as_raw_fd(), disconnect.as_ptr(), 16);
    }
}

/// The shared counter: keeps numbers by name and forgets them when their time is up.
pub fn start_counter() -> Server {
    let totals: Mutex<HashMap<String, (f64, Instant)>> = Mutex::default();
    Server::start(move |message| {
        let Some(call) = parse_call(&message.first_line) else {
            return Reply::Send(response(400, "", ""));
        };
        let (name, amount, life) = call;
        let mut totals = totals.lock().unwrap();
        let now = Instant::now();
        totals.retain(|_, (_, until)| *until > now);
        let entry = totals.entry(name).or_insert((0.0, now + life));
        entry.0 += amount;
        Reply::Send(response(200, "", &format!("{:.3}", entry.0)))
    })
}

fn parse_call(line: &str) -> Option<(String, f64, Duration)> {
    let target = line.split_whitespace().nth(1)?;
    let (name, query) = target.strip_prefix("/counters/")?.split_once('?')?;
    let value = |key: &str| {
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields
            .find(|(name, _)| *name == key)
            .map(|(_, value)| value)
    };
    let life_ms: u64 = value("expire_ms")?.parse().ok()?;
    let life = Duration::from_millis(life_ms.clamp(1, 60_000));
    Some((name.to_owned(), value("by")?.parse().ok()?, life))
}

/// An entry of the list of quote servers.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub cell: usize,
    pub state: &'static str,
    pub started_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"std-2c","cell":{},"state":"{}","weight":1.0,"started_ms":{}}}"#,
            self.id, self.addr, self.zone, self.cell, self.state, self.started_ms
        )
    }
}

struct Registry {
    version: u64,
    entries: Vec<Entry>,
    watches: Vec<TcpStream>,
}

impl Registry {
    fn list(&self) -> String {
        list_json(self.version, true, &self.entries)
    }

    fn send(&mut self, line: &str) {
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        self.watches
            .retain(|mut watch| watch.write_all(chunk.as_bytes()).is_ok());
    }
}

pub fn list_json(version: u64, full: bool, entries: &[Entry]) -> String {
    let entries: Vec<_> = entries.iter().map(Entry::json).collect();
    format!(
        r#"{{"version":{version},"full":{full},"servers":[{}]}}"#,
        entries.join(",")
    )
}

/// Discovery: answers with the whole list, keeps watches open and writes an empty line to them every 2 s.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    registry: Arc<Mutex<Registry>>,
}

/// The version of the first list, which is also the gateway's known one.
pub const FIRST_VERSION: u64 = 41;

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> Self {
        let registry = Arc::new(Mutex::new(Registry {
            version: FIRST_VERSION,
            entries,
            watches: Vec::new(),
        }));
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("the listener has an address");
        let accepting = registry.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let registry = accepting.clone();
                thread::spawn(move || answer_calls(stream, &registry));
            }
        });
        let beating = registry.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_secs(2));
            beating.lock().unwrap().send("");
        });
        Discovery { addr, registry }
    }

    /// Tells a change of the list.
    pub fn tell(&self, changes: &[Entry]) {
        let mut registry = self.registry.lock().unwrap();
        registry.version += 1;
        for change in changes {
            registry.entries.retain(|entry| entry.id != change.id);
            if change.state != "Gone" {
                registry.entries.push(change.clone());
            }
        }
        let line = list_json(registry.version, false, changes);
        registry.send(&line);
    }
}

fn answer_calls(stream: TcpStream, registry: &Mutex<Registry>) {
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(call) = read_message(&mut reader) {
        let mut registry = registry.lock().unwrap();
        if call.first_line.contains("stream=1") {
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            if (&stream).write_all(head.as_bytes()).is_err() {
                return;
            }
            let line = registry.list();
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            if (&stream).write_all(chunk.as_bytes()).is_ok() {
                registry.watches.push(stream);
            }
            return;
        }
        let answer = response(200, "", &registry.list());
        if (&stream).write_all(&answer).is_err() {
            return;
        }
    }
}

/// Settings like those of the deployment `centrala-kalisz`: three gateways, three rooms, two classes, four plans.
/// `issue` is the class `quote-issue`, as JSON.
pub fn settings(issue: &str) -> String {
    let plan = |name: &str, refill: f64, store: f64, pays: f64, cost: f64| {
        format!(
            r#"{{"name":"{name}","refill":{refill:.1},"store-size":{store:.1},"max-out":0,"pays":{pays:.1},"extra-worth":0.0,"excess-cost":{cost:.1},"cap-rate":0.0,"cap-depth":0.0,"ceiling-slack":0.0}}"#
        )
    };
    let plans = [
        plan("start", 1.9, 8.0, 0.5, 0.6),
        plan("standard", 2.4, 10.0, 0.8, 0.5),
        plan("plus", 11.0, 22.0, 1.2, 0.8),
        plan("pro", 16.0, 44.0, 1.4, 0.5),
    ]
    .join(",");
    format!(
        r#"{{"balancers":3,"position":0,"locality":0,"zones":["room-a","room-b","room-c"],"kinds":["std-2c","slow-3c"],
"granularity-ms":4.0,"membership-mode":"push","service-type":"gate",
"categories":[{{"name":"price-calc","aim-ms":750.0,"give-up-ms":2500.0,"value":1.0,"late-worth":0.0,"effect":"read_like","group":"all","window-ms":5000.0,"stream":false}},{issue}],
"tiers-of-service":[{plans}],
"domain":{{"may-count":true,"count-fee":0.01,"counter-timeout-ms":30.0,"peer-intake":0.0,"trued-up":true,"units-top":4,"use-period-ms":0.0}},
"limits":{{"cancel":true,"connect-timeout-ms":250.0,"idle-close-ms":30000.0,"max-open":20000,"max-retry-after-ms":500.0,"may-duplicate":true,"peers":false,"probing":false,"retry-after":true,"streams-per-conn":1,"try-limit":5}},
"penalties":{{"connection":0.0,"cross-zone":0.013,"handshake":0.0,"late-fail":0.05,"probe":0.0,"waste":0.16}},
"rules":{{"answer-slack-ms":16.0,"ask-within-ms":10000.0,"cold-from":0.16,"drain-grace-ms":2000.0,"fall-ms":1500.0,"fall-multiple":4.0,"warm-up-ms":15000.0}}}}"#
    )
}

/// The class `quote-issue` of the deployment: it must never run twice.
pub const QUOTE_ISSUE: &str = r#"{"name":"quote-issue","aim-ms":1000.0,"give-up-ms":2500.0,"value":2.0,"late-worth":0.0,"effect":"non_idempotent","group":"all","window-ms":5000.0,"stream":false}"#;

/// A gateway as the platform starts it. It is killed when dropped.
pub struct Gateway {
    pub addr: SocketAddr,
    pub child: Child,
    folder: PathBuf,
}

/// What a gateway is told.
pub struct Deployment<'a> {
    pub discovery: SocketAddr,
    pub counter: SocketAddr,
    pub known: &'a [Entry],
    pub settings: String,
    pub memory_mb: u32,
    pub sockets: u32,
}

impl Gateway {
    /// Starts the command `run` of the deploy file from the root of the repository, and waits until it is ready.
    pub fn start(record: &Record, deployment: &Deployment) -> Self {
        let root = fs::canonicalize("../..").expect("the root of the repository");
        let run = run_command(&root)
            .unwrap_or_else(|| cannot_run(record, "deploy/balancer.toml has no command `run`"));
        let addr = free_address();
        let folder =
            std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), addr.port()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let config = folder.join("config.json");
        let Deployment {
            discovery,
            counter,
            memory_mb,
            sockets,
            ..
        } = deployment;
        let text = format!(
            r#"{{"name":"gateway-0","listen":"{addr}","discovery":"{discovery}","counter":"{counter}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{},"settings":{}}}"#,
            random(),
            list_json(FIRST_VERSION, true, deployment.known),
            deployment.settings,
        );
        fs::write(&config, text).expect("the configuration can be written");
        let log = File::create(folder.join("log.txt")).expect("the log can be written");
        let mut command = Command::new("/bin/sh");
        // SAFETY: the function makes one system call.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .arg("-c")
            .arg(format!("ulimit -n {sockets}; {run}"))
            .current_dir(&root)
            .env("RELAY_NAME", "gateway-0")
            .env("RELAY_LISTEN", addr.to_string())
            .env("RELAY_DISCOVERY", discovery.to_string())
            .env("RELAY_CONFIG", &config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the gateway can be started");
        let gateway = Gateway {
            addr,
            child,
            folder,
        };
        let start = Instant::now();
        while !gateway.is_ready() {
            if start.elapsed() > Duration::from_secs(30) {
                cannot_run(record, "the gateway is not ready within 30 s");
            }
            thread::sleep(Duration::from_millis(20));
        }
        record.line(format!("gateway at {addr} is ready"));
        gateway
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.addr) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = "GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n";
        if stream.write_all(request.as_bytes()).is_err() {
            return false;
        }
        read_message(&mut BufReader::new(stream)).is_some_and(|answer| answer.status() == 200)
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).expect("the gateway accepts connections");
        let _ = stream.set_nodelay(true);
        stream
    }

    /// Resident memory of the process, in bytes; `None` once it has ended.
    pub fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kib * 1024)
    }

    /// The exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        Some(status.to_string())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Has the system kill the calling process when its parent ends, however that ends.
fn end_with_parent() -> std::io::Result<()> {
    extern "C" {
        fn prctl(option: i32, ...) -> i32;
    }
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the call has no effect on memory.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
    Ok(())
}

/// The text of `run` in the deploy file.
fn run_command(root: &Path) -> Option<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).ok()?;
    let line = text.lines().find(|line| {
        line.split('=')
            .next()
            .is_some_and(|key| key.trim() == "run")
    })?;
    Some(line.split('"').nth(1)?.to_owned())
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("the listener has an address")
}

/// A request of a client.
pub struct Request<'a> {
    pub class: &'a str,
    pub method: &'a str,
    pub customer: u64,
    pub remaining_ms: u64,
    pub headers: &'a str,
    pub body: &'a [u8],
}

impl Request<'_> {
    /// Encodes the request with a fresh id, which is returned as well.
    pub fn encode(&self) -> (String, Vec<u8>) {
        let Request {
            class,
            method,
            customer,
            remaining_ms,
            headers,
            body,
        } = self;
        let id = format!("{:016x}", random());
        let length = if *method == "POST" {
            format!("Content-Length: {}\r\n", body.len())
        } else {
            String::new()
        };
        let mut message = format!(
            "{method} /{class}?account={customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {id}\r\n\
             X-Lane: {class}\r\nX-Plan: pro\r\nX-Remaining-Ms: {remaining_ms}\r\n{length}{headers}\
             X-Quota: units=1,spread=2,first=0\r\n\r\n"
        )
        .into_bytes();
        message.extend_from_slice(body);
        (id, message)
    }
}

/// A random number.
pub fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    if STATE.load(Ordering::Relaxed) == 0 {
        STATE.store(
            now.as_nanos() as u64 ^ (u64::from(std::process::id()) << 40),
            Ordering::Relaxed,
        );
    }
    // SplitMix64.
    let mut z = STATE
        .fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed)
        .wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The present Unix time, in ms.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_millis() as u64
}
