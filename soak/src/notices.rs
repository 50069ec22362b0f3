//! When a change of the endpoint list counts as notified to a gateway.

use stand_ins::service_mode::ServiceMode;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// After SIGHUP, whatever discovery publishes counts as notified this much later at the latest.
const RELOAD_GRACE: Duration = Duration::from_secs(4);
/// An agent that was silent sends what was missed when it is back; the gateway may have to give up a call first.
const SILENCE_GRACE: Duration = Duration::from_secs(1);
/// After a failed or rejected call, and where lists are polled, a change counts as notified this much later.
const FAILURE_GRACE: Duration = Duration::from_secs(6);
/// A change that was published this shortly before an outage may not have arrived.
const TRANSFER_TIME: Duration = Duration::from_millis(100);

/// A time in which discovery was not available.
#[derive(Clone, Copy, Debug)]
struct Outage {
    from: Instant,
    /// None while it lasts.
    until: Option<Instant>,
    /// What was missed counts as notified this long after its end.
    grace: Duration,
}

/// Records what delays notices: outages of discovery, and reloads of gateways.
pub struct NoticeTimes {
    is_polled: bool,
    outages: RefCell<Vec<Outage>>,
    /// When SIGHUP was sent, by gateway.
    reloads: RefCell<HashMap<usize, Vec<Instant>>>,
}

impl NoticeTimes {
    /// Nothing has delayed a notice yet.
    pub fn new(is_polled: bool) -> Self {
        NoticeTimes {
            is_polled,
            outages: RefCell::default(),
            reloads: RefCell::default(),
        }
    }

    /// Discovery treats calls in this way from now on.
    pub fn record_discovery_mode(&self, mode: ServiceMode) {
        let mut outages = self.outages.borrow_mut();
        let open = outages.last_mut().filter(|outage| outage.until.is_none());
        match (mode, open) {
            (ServiceMode::Available, Some(outage)) => outage.until = Some(Instant::now()),
            (ServiceMode::Available, None) | (_, Some(_)) => {}
            (_, None) => outages.push(Outage {
                from: Instant::now(),
                until: None,
                grace: outage_grace(mode),
            }),
        }
    }

    /// SIGHUP is sent to a gateway.
    pub fn record_reload(&self, gateway: usize) {
        let mut reloads = self.reloads.borrow_mut();
        reloads.entry(gateway).or_default().push(Instant::now());
    }

    /// When a change of this moment counts as notified to a gateway; none while that is open.
    pub fn notified_at(&self, gateway: usize, changed_at: Instant) -> Option<Instant> {
        let mut notified_at = if self.is_polled {
            changed_at + FAILURE_GRACE
        } else {
            changed_at
        };
        for outage in self.outages.borrow().iter() {
            if outage.from <= notified_at + TRANSFER_TIME {
                let notified_again_at = outage.until? + outage.grace;
                notified_at = notified_at.max(notified_again_at);
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
