//! How late the stand-ins run: what they see is late by as much, and is judged with that allowed for.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

const INTERVAL: Duration = Duration::from_millis(5);
/// A delay counts for this long after it was seen.
const MEMORY: Duration = Duration::from_millis(400);
/// What timers and loopback take at any time.
const USUAL: Duration = Duration::from_millis(15);

/// Measures by how much timers of this process go off late.
#[derive(Clone)]
pub struct Lag {
    worst: Rc<Cell<(Instant, Duration)>>,
    worst_ever: Rc<Cell<Duration>>,
}

impl Lag {
    /// Starts to measure.
    pub fn start() -> Self {
        let lag = Lag {
            worst: Rc::new(Cell::new((Instant::now(), Duration::ZERO))),
            worst_ever: Rc::default(),
        };
        spawn_local(lag.clone().measure());
        lag
    }

    async fn measure(self) {
        loop {
            let due = Instant::now() + INTERVAL;
            sleep(INTERVAL).await;
            let late = due.elapsed();
            let (at, worst) = self.worst.get();
            if late > worst || at.elapsed() > MEMORY {
                self.worst.set((Instant::now(), late));
            }
            self.worst_ever.set(self.worst_ever.get().max(late));
        }
    }

    /// What to allow for at present.
    pub fn allowance(&self) -> Duration {
        self.worst.get().1 + USUAL
    }

    /// The worst delay of the run.
    pub fn worst_ever(&self) -> Duration {
        self.worst_ever.get()
    }
}
