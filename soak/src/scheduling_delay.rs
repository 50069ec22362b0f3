//! Measures the scheduling delay of this process. Clients and stand-ins observe all events late by this delay, so the
//! rules allow for it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Time between two measurements.
const INTERVAL: Duration = Duration::from_millis(5);
/// A measured delay is kept as the worst recent delay for this long.
const RETENTION: Duration = Duration::from_millis(400);
/// Delay that timers and loopback cause at any time.
const BASELINE_DELAY: Duration = Duration::from_millis(15);

/// A measured delay and the time of its measurement.
#[derive(Clone, Copy)]
struct Measurement {
    at: Instant,
    delay: Duration,
}

/// Measures the delay with which timers of this process fire.
#[derive(Clone)]
pub struct SchedulingDelay {
    worst_recent: Rc<Cell<Measurement>>,
    worst_ever: Rc<Cell<Duration>>,
}

impl SchedulingDelay {
    /// Starts the measurement in a task of the current `LocalSet`.
    pub fn start() -> Self {
        let delay = SchedulingDelay {
            worst_recent: Rc::new(Cell::new(Measurement {
                at: Instant::now(),
                delay: Duration::ZERO,
            })),
            worst_ever: Rc::default(),
        };
        spawn_local(delay.clone().measure());
        delay
    }

    async fn measure(self) {
        loop {
            let due = Instant::now() + INTERVAL;
            sleep(INTERVAL).await;
            let delay = due.elapsed();
            let worst = self.worst_recent.get();
            if delay > worst.delay || worst.at.elapsed() > RETENTION {
                let at = Instant::now();
                self.worst_recent.set(Measurement { at, delay });
            }
            self.worst_ever.set(self.worst_ever.get().max(delay));
        }
    }

    /// The delay that the rules currently have to allow for.
    pub fn allowance(&self) -> Duration {
        self.worst_recent.get().delay + BASELINE_DELAY
    }

    /// The longest delay since the start of the measurement.
    pub fn worst_ever(&self) -> Duration {
        self.worst_ever.get()
    }
}
