//! What all parts of a run share.

use crate::conditions::Conditions;
use crate::fleet::Fleet;
use crate::gateway::GatewayState;
use crate::judge::Judge;
use crate::lag::Lag;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Whether a service that gateways call works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceMode {
    /// It answers.
    Works,
    /// It takes calls and says nothing.
    Silent,
    /// It closes connections at once.
    Closes,
    /// It turns calls away.
    Refuses,
    /// It answers what nobody can read.
    Garbles,
}

/// What was asked for or drawn for a run.
#[derive(Clone, Copy)]
pub struct RunSettings {
    /// What it is made under.
    pub conditions: Conditions,
    /// Its seed.
    pub seed: u64,
    /// Gateways ask a service that all share for the list, in place of an agent that pushes it.
    pub is_polled: bool,
}

/// What all parts share.
pub struct World {
    /// What was seen.
    pub judge: RefCell<Judge>,
    /// The endpoints.
    pub fleet: RefCell<Fleet>,
    /// Wakes the watches when the list or the mode of discovery changes.
    pub list_changed: watch::Sender<u64>,
    /// The gateways, by number.
    pub gateways: RefCell<Vec<GatewayState>>,
    /// The complete list, as it was published last.
    pub published_list: RefCell<String>,
    /// Whether the counter works.
    pub counter_mode: Cell<ServiceMode>,
    /// Whether discovery works.
    pub discovery_mode: Cell<ServiceMode>,
    /// When discovery began to be unavailable and worked again, for all times that it was.
    pub discovery_outages: RefCell<Vec<Outage>>,
    /// How late the stand-ins run.
    pub lag: Lag,
    /// The load ends then.
    pub ends_at: Instant,
    /// What the run is made under.
    pub conditions: Conditions,
    /// The seed of the run.
    pub seed: u64,
    /// Gateways ask a service that all share for the list, in place of an agent that pushes it.
    pub is_polled: bool,
    next_transaction: Cell<u64>,
}

/// A time in which discovery was not available.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Its start.
    pub from: Instant,
    /// Its end; none while it lasts.
    pub until: Option<Instant>,
    /// What was missed counts as notified this long after its end.
    pub grace: Duration,
}

/// Whatever discovery publishes counts as notified this long after SIGHUP at the latest.
const RELOAD_GRACE: Duration = Duration::from_secs(4);
/// An agent that was silent tells at its return; a call that was in progress may have to be given up first.
const SILENCE_GRACE: Duration = Duration::from_secs(1);
/// After a failed or refused call, and where lists are asked for, a change counts as notified this long after it could be
/// had.
const FAILURE_GRACE: Duration = Duration::from_secs(6);

impl World {
    /// A world in which all works.
    pub fn new(judge: Judge, lag: Lag, ends_at: Instant, run: RunSettings) -> Self {
        World {
            judge: RefCell::new(judge),
            fleet: RefCell::new(Fleet::new()),
            list_changed: watch::Sender::new(0),
            gateways: RefCell::default(),
            published_list: RefCell::default(),
            counter_mode: Cell::new(ServiceMode::Works),
            discovery_mode: Cell::new(ServiceMode::Works),
            discovery_outages: RefCell::default(),
            lag,
            ends_at,
            conditions: run.conditions,
            seed: run.seed,
            is_polled: run.is_polled,
            next_transaction: Cell::new(1),
        }
    }

    /// An id that no request had.
    pub fn next_transaction(&self) -> u64 {
        let id = self.next_transaction.get();
        self.next_transaction.set(id + 1);
        // Spread over all digits, as ids of clients are.
        id.wrapping_mul(0x9E37_79B9_7F4A_7C15)
    }

    /// Sets whether discovery works.
    pub fn set_discovery_mode(&self, mode: ServiceMode) {
        self.discovery_mode.set(mode);
        let mut outages = self.discovery_outages.borrow_mut();
        let is_out = outages.last().is_some_and(|outage| outage.until.is_none());
        match (mode, is_out) {
            (ServiceMode::Works, true) => {
                if let Some(outage) = outages.last_mut() {
                    outage.until = Some(Instant::now());
                }
            }
            (ServiceMode::Works, false) | (_, true) => {}
            (_, false) => {
                let grace = if mode == ServiceMode::Silent {
                    SILENCE_GRACE
                } else {
                    FAILURE_GRACE
                };
                outages.push(Outage {
                    from: Instant::now(),
                    until: None,
                    grace,
                });
            }
        }
        drop(outages);
        self.list_changes();
    }

    /// The list has changed, or the mode of discovery.
    pub fn list_changes(&self) {
        let version = self.fleet.borrow().version;
        if self.discovery_mode.get() == ServiceMode::Works {
            self.published_list
                .replace(self.fleet.borrow().complete_list());
        }
        let _ = self.list_changed.send(version);
    }

    /// When a change of this moment counts as notified to a gateway; none while that is open.
    pub fn notified_at(&self, gateway: usize, changed_at: Instant) -> Option<Instant> {
        let mut notified_at = if self.is_polled {
            changed_at + FAILURE_GRACE
        } else {
            changed_at
        };
        for outage in self.discovery_outages.borrow().iter() {
            // A change shortly before an outage may be on its way still, or not have been asked for.
            if outage.from <= notified_at + Duration::from_millis(100) {
                match outage.until {
                    None => return None,
                    Some(until) if until + outage.grace > notified_at => {
                        notified_at = until + outage.grace;
                    }
                    Some(_) => {}
                }
            }
        }
        let reloads = self
            .gateways
            .borrow()
            .get(gateway)
            .map_or(Vec::new(), |state| state.reloaded_at.clone());
        for reloaded_at in reloads {
            if reloaded_at <= notified_at && notified_at < reloaded_at + RELOAD_GRACE {
                notified_at = reloaded_at + RELOAD_GRACE;
            }
        }
        Some(notified_at)
    }

    /// True once the load has ended.
    pub fn has_ended(&self) -> bool {
        Instant::now() >= self.ends_at
    }
}
