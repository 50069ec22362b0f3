//! How late this process runs. Clients and stand-ins see everything late by as much, so that much is allowed for when
//! the rules are checked.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Interval between two measurements.
const INTERVAL: Duration = Duration::from_millis(5);
/// A delay counts for this long after it was measured.
const RETENTION: Duration = Duration::from_millis(400);
/// What timers and loopback take at any time.
const USUAL_DELAY: Duration = Duration::from_millis(15);

/// One measured delay.
#[derive(Clone, Copy)]
struct Measurement {
    at: Instant,
    delay: Duration,
}

/// Measures by how much timers of this process go off late.
#[derive(Clone)]
pub struct SchedulingDelay {
    worst_recent: Rc<Cell<Measurement>>,
    worst_ever: Rc<Cell<Duration>>,
}

impl SchedulingDelay {
    /// Starts to measure.
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

    /// What to allow for at present.
    pub fn allowance(&self) -> Duration {
        self.worst_recent.get().delay + USUAL_DELAY
    }

    /// The worst delay of the run.
    pub fn worst_ever(&self) -> Duration {
        self.worst_ever.get()
    }
}
