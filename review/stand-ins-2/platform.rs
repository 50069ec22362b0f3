//! What stands around a gateway: discovery, the counter, quote servers' listeners, and the gateway's process itself.

use crate::http::{ok, MessageReader};
use crate::site::Site;
use std::collections::HashMap;
use std::fs;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Stack of a thread of a stand-in.
const STACK_BYTES: usize = 256 * 1024;
/// Time within which a gateway has to be ready.
const READY_TIME: Duration = Duration::from_secs(30);

/// Starts a thread with a small stack.
pub fn spawn<T: Send + 'static>(
    work: impl FnOnce() -> T + Send + 'static,
) -> thread::JoinHandle<T> {
    let builder = thread::Builder::new().stack_size(STACK_BYTES);
    builder.spawn(work).expect("a thread can be started")
}

/// Listens on a free loopback port and serves each connection in a thread of its own.
pub fn serve(handler: impl Fn(TcpStream) + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let addr = listener.local_addr()?;
    let handler = Arc::new(handler);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            spawn(move || handler(stream));
        }
    });
    Ok(addr)
}

/// An entry of the list of quote servers.
pub struct Entry {
    pub addr: SocketAddr,
    pub zone: &'static str,
}

fn list_text(entries: &[Entry]) -> String {
    let servers: Vec<_> = entries
        .iter()
        .enumerate()
        .map(|(number, entry)| {
            format!(
                "{{\"id\":\"s-{number:08x}\",\"addr\":\"{}\",\"zone\":\"{}\",\"kind\":\"std-2c\",\"cell\":{},\
                 \"state\":\"Ready\",\"weight\":1.0,\"started_ms\":0}}",
                entry.addr,
                entry.zone,
                number / 4
            )
        })
        .collect();
    format!(
        "{{\"version\":1,\"full\":true,\"servers\":[{}]}}",
        servers.join(",")
    )
}

/// Discovery's agent: it answers at once, and its list never changes.
fn start_discovery(list: String) -> io::Result<SocketAddr> {
    serve(move |stream| {
        let _ = serve_list(&stream, &list);
    })
}

fn serve_list(stream: &TcpStream, list: &str) -> io::Result<()> {
    let mut writer = stream;
    let mut calls = MessageReader::new(stream);
    while let Some(call) = calls.next()? {
        if !call.target().contains("stream=1") {
            writer.write_all(&ok("", list.as_bytes()))?;
            continue;
        }
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let first = format!("{head}{:x}\r\n{list}\n\r\n", list.len() + 1);
        writer.write_all(first.as_bytes())?;
        loop {
            thread::sleep(Duration::from_secs(2));
            writer.write_all(b"1\r\n\n\r\n")?;
        }
    }
    Ok(())
}

/// The shared counter. A total is forgotten when the life of its name is over.
fn start_counter() -> io::Result<SocketAddr> {
    let totals: Arc<Mutex<HashMap<String, (f64, Instant)>>> = Arc::default();
    serve(move |stream| {
        let _ = serve_counter(&stream, &totals);
    })
}

fn serve_counter(
    stream: &TcpStream,
    totals: &Mutex<HashMap<String, (f64, Instant)>>,
) -> io::Result<()> {
    let mut writer = stream;
    let mut calls = MessageReader::new(stream);
    while let Some(call) = calls.next()? {
        let (name, query) = call.target().split_once('?').unwrap_or(("", ""));
        let number = |key: &str| {
            let value = query
                .split('&')
                .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
            value
                .and_then(|text| text.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        let now = Instant::now();
        let life = Duration::from_millis(number("expire_ms").clamp(1.0, 60_000.0) as u64);
        let total = {
            let mut totals = totals.lock().expect("no thread panics with the lock");
            let total = totals.entry(name.to_owned()).or_insert((0.0, now + life));
            if total.1 <= now {
                *total = (0.0, now + life);
            }
            total.0 += number("by");
            total.0
        };
        writer.write_all(&ok("", format!("{total:.3}").as_bytes()))?;
    }
    Ok(())
}

/// The limits of a gateway's machine.
#[derive(Clone, Copy)]
pub struct MachineLimits {
    pub memory_mb: u32,
    pub sockets: u32,
}

/// A gateway's process, started with the command of the deploy file. It is killed when dropped.
pub struct Gateway {
    pub addr: SocketAddr,
    child: Child,
    folder: PathBuf,
}

impl Gateway {
    /// Starts a gateway in front of these quote servers, with discovery and a counter of its own, and waits until it is
    /// ready. `folder` takes its files.
    pub fn start(
        folder: &Path,
        site: &Site,
        entries: &[Entry],
        limits: MachineLimits,
    ) -> io::Result<Self> {
        let list = list_text(entries);
        let discovery = start_discovery(list.clone())?;
        let counter = start_counter()?;
        let addr = free_address()?;
        let MachineLimits { memory_mb, sockets } = limits;
        let settings = site.settings;
        let config = format!(
            "{{\"name\":\"n0\",\"listen\":\"{addr}\",\"discovery\":\"{discovery}\",\"counter\":\"{counter}\",\
             \"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\
             \"sockets\":{sockets}}},\"known\":{list},\"settings\":{settings}}}"
        );
        let config_path = folder.join("config.json");
        fs::write(&config_path, config)?;
        let command = format!("ulimit -n {sockets}; {}", run_command()?);
        let log = fs::File::create(folder.join("gateway.log"))?;
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .env("RELAY_CONFIG", &config_path)
            .env("RELAY_NAME", "n0")
            .env("RELAY_LISTEN", addr.to_string())
            .env("RELAY_DISCOVERY", discovery.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        fs::write(folder.join("gateway.pid"), child.id().to_string())?;
        let gateway = Gateway {
            addr,
            child,
            folder: folder.to_owned(),
        };
        gateway.wait_until_ready()?;
        Ok(gateway)
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let start = Instant::now();
        while !self.is_ready().unwrap_or(false) {
            if start.elapsed() > READY_TIME {
                return Err(io::Error::other("the gateway is not ready within 30 s"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    fn is_ready(&self) -> io::Result<bool> {
        let stream = TcpStream::connect(self.addr)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        (&stream).write_all(b"GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n")?;
        let answer = MessageReader::new(&stream).next()?;
        Ok(answer.is_some_and(|answer| answer.status() == 200))
    }

    /// True while the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// A line of the memory figures of the process, in KiB.
    pub fn memory_kib(&self, name: &str) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
        line.trim().trim_end_matches("kB").trim().parse().ok()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(self.folder.join("gateway.pid"));
    }
}

/// The value of `run` in the deploy file.
fn run_command() -> io::Result<String> {
    let deploy = fs::read_to_string("deploy/balancer.toml")?;
    let line = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|rest| rest.split('"').next());
    command
        .map(str::to_owned)
        .ok_or_else(|| io::Error::other("deploy/balancer.toml has no `run`"))
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}
