//! The times at which gateways count as notified of changes of the endpoint list.

use stand_ins::service_mode::ServiceMode;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// A change that would count as notified within this time after a SIGHUP counts as notified at the end of this time.
/// Until then the gateway may not have received a list from the new address of discovery.
const RELOAD_GRACE: Duration = Duration::from_secs(4);
/// Changes that were missed while the agent was silent count as notified this long after the silence. The agent sends
/// the missed changes when it is available again, but the gateway may have to wait for the timeout of a call first.
const SILENCE_GRACE: Duration = Duration::from_secs(1);
/// Changes that were missed in an outage in which calls failed or were rejected count as notified this long after the
/// outage. Changes count as notified this long after their publication if lists are polled.
const FAILURE_GRACE: Duration = Duration::from_secs(6);
/// A change that was published less than this time before an outage may not have arrived.
const TRANSFER_TIME: Duration = Duration::from_millis(100);

/// A period in which discovery was not available.
#[derive(Clone, Copy, Debug)]
struct Outage {
    from: Instant,
    /// The end of the outage. `None` while the outage lasts.
    until: Option<Instant>,
    /// Missed changes count as notified this long after the end of the outage. The mode at the start of the outage
    /// determines this time.
    grace: Duration,
}

/// Records the events that delay notices of changes: outages of discovery and reloads of gateways.
pub struct NoticeTimes {
    is_polled: bool,
    outages: RefCell<Vec<Outage>>,
    /// The times at which SIGHUP was sent, by gateway.
    reloads: RefCell<HashMap<usize, Vec<Instant>>>,
}

impl NoticeTimes {
    /// Creates a record without outages and reloads.
    pub fn new(is_polled: bool) -> Self {
        NoticeTimes {
            is_polled,
            outages: RefCell::default(),
            reloads: RefCell::default(),
        }
    }

    /// Records that discovery treats calls in the given way from now on.
    pub fn record_discovery_mode(&self, mode: ServiceMode) {
        let mut outages = self.outages.borrow_mut();
        let current = outages.last_mut().filter(|outage| outage.until.is_none());
        match (mode, current) {
            (ServiceMode::Available, Some(outage)) => outage.until = Some(Instant::now()),
            (ServiceMode::Available, None) | (_, Some(_)) => {}
            (_, None) => outages.push(Outage {
                from: Instant::now(),
                until: None,
                grace: outage_grace(mode),
            }),
        }
    }

    /// Records that SIGHUP is sent to a gateway.
    pub fn record_reload(&self, gateway: usize) {
        let mut reloads = self.reloads.borrow_mut();
        reloads.entry(gateway).or_default().push(Instant::now());
    }

    /// Returns the time at which a gateway counts as notified of a change that was published at `changed_at`. `None`
    /// while an outage delays the notice.
    pub fn notified_at(&self, gateway: usize, changed_at: Instant) -> Option<Instant> {
        let mut notified_at = if self.is_polled {
            changed_at + FAILURE_GRACE
        } else {
            changed_at
        };
        for outage in self.outages.borrow().iter() {
            if outage.from <= notified_at + TRANSFER_TIME {
                let after_outage = outage.until? + outage.grace;
                notified_at = notified_at.max(after_outage);
            }
        }
        for reloaded_at in self.reloads.borrow().get(&gateway).into_iter().flatten() {
            if *reloaded_at <= notified_at {
                notified_at = notified_at.max(*reloaded_at + RELOAD_GRACE);
            }
        }
        Some(notified_at)
    }
}

fn outage_grace(mode: ServiceMode) -> Duration {
    if mode == ServiceMode::Silent {
        SILENCE_GRACE
    } else {
        FAILURE_GRACE
    }
}

#[cfg(test)]
mod tests;
