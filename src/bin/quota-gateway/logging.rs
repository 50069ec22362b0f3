//! The log on standard error.
//!
//! Guards against a log that can't be written: on a full disk each write fails, and a pipe that nobody reads blocks. If
//! the gateway's only thread wrote the log, a failing write would end the process and a blocking write would stall all
//! requests. Instead a separate thread writes the log from a queue. Nothing waits for room in the queue: lines beyond
//! its limit are dropped. The flush at the end waits for a bounded time.

use std::any::Any;
use std::io::{stderr, Write};
use std::panic::{self, PanicHookInfo};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::time::uptime;

/// Environment variable that sets the lowest level that is logged: `error`, `warn`, `info` (the default), `debug` or
/// `trace`. At `debug` each request and attempt is logged with its ids, and each connection with the reason for its
/// end.
const LEVEL_VARIABLE: &str = "RELAY_LOG";
/// Maximum number of lines that wait to be written, some 100 KB. Later lines are dropped and counted.
const MAX_WAITING_LINES: usize = 1024;
/// Longest wait for the last lines to be written at the end of the program.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);

/// The running log. It must be flushed before the program ends.
pub struct Log {
    writer: NonBlocking,
    worker: WorkerGuard,
}

impl Log {
    /// Starts the log. From now on all events and panics are written to it.
    pub fn start() -> Self {
        let builder = NonBlockingBuilder::default().buffered_lines_limit(MAX_WAITING_LINES);
        let (writer, worker) = builder.thread_name("log").finish(stderr());
        let log = tracing_subscriber::fmt()
            .with_writer(writer.clone())
            .with_max_level(level());
        // Lines are stamped with the time since the start of the process, because the wall clock may be stepped.
        log.with_ansi(false).with_timer(uptime()).init();
        panic::set_hook(Box::new(log_panic));
        Log { writer, worker }
    }

    /// Writes one line without time and level.
    pub fn write_line(&mut self, line: &str) {
        // The writer never fails: a line for which the queue has no room is dropped.
        let _ = self.writer.write_all(format!("{line}\n").as_bytes());
    }

    /// Waits until the last lines are written, but at most for `FLUSH_TIMEOUT`.
    pub fn flush(self) {
        let (done, flushed) = channel();
        let worker = self.worker;
        // Dropping the worker waits for its thread, which may be blocked by the reader of the log. So the worker is
        // dropped on another thread.
        let flushing = thread::Builder::new().spawn(move || {
            drop(worker);
            let _ = done.send(());
        });
        if flushing.is_ok() {
            let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn level() -> LevelFilter {
    let named = std::env::var(LEVEL_VARIABLE).ok();
    named
        .and_then(|name| name.parse().ok())
        .unwrap_or(LevelFilter::INFO)
}

/// Logs a panic. The standard hook would write to standard error on the panicking thread, which blocks if nobody reads
/// it.
fn log_panic(info: &PanicHookInfo<'_>) {
    let location = info.location().map(ToString::to_string).unwrap_or_default();
    tracing::error!("panic at {location}: {}", panic_message(info.payload()));
}

fn panic_message(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str))
        .unwrap_or("no message")
}
