//! Assigns the decision library's numeric ids to the endpoint names in the list.

use quota_gateway::EndpointId;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which the id of a removed endpoint is kept. This time exceeds the time for which the library remembers a
/// removed endpoint: `FORGET_AFTER_LAST_SUCCESS_MS` (60 s) of `policy::load_balancer`, counted from the last success.
pub const REMOVED_ID_RETENTION: Duration = Duration::from_secs(90);

/// Maps endpoint names to ids. No id is assigned twice. The id of a removed endpoint is kept while the library may
/// remember the endpoint and then dropped, as names are never reused.
#[derive(Default)]
pub struct EndpointIds {
    last_id: EndpointId,
    assigned: HashMap<String, AssignedId>,
}

struct AssignedId {
    id: EndpointId,
    start: StartTime,
    /// Time of the endpoint's removal; `None` while it is listed.
    removed_at: Option<Instant>,
}

/// The start time of an endpoint, in Unix milliseconds; 0 if that is long past.
#[derive(Clone, Copy, Default)]
struct StartTime {
    /// Start time as listed, by the clock of the endpoint's machine.
    listed_ms: f64,
    /// Start time by this machine's clock, as estimated by `StartTimes`.
    estimated_ms: f64,
}

impl EndpointIds {
    /// Records an entry of the endpoint list. Returns the endpoint's id, which is assigned if the name is new, and its
    /// start time in Unix milliseconds. `removed` is true if the entry reports the endpoint's removal. `estimate` is
    /// called if the listed start time is later than the one recorded for this name.
    pub fn record_entry(
        &mut self,
        name: String,
        removed: bool,
        listed_start_ms: f64,
        estimate: impl FnOnce() -> f64,
    ) -> (EndpointId, f64) {
        let removed_at = removed.then(Instant::now);
        let assigned = self.assigned.entry(name).or_insert_with(|| {
            self.last_id += 1;
            AssignedId {
                id: self.last_id,
                start: StartTime::default(),
                removed_at,
            }
        });
        if listed_start_ms > assigned.start.listed_ms {
            assigned.start = StartTime {
                listed_ms: listed_start_ms,
                estimated_ms: estimate(),
            };
        }
        assigned.removed_at = removed_at;
        let started_ms = if listed_start_ms > 0.0 {
            assigned.start.estimated_ms
        } else {
            listed_start_ms
        };
        (assigned.id, started_ms)
    }

    /// Marks as removed all endpoints that are missing from a complete list.
    pub fn mark_unlisted_removed(&mut self, listed: &HashSet<EndpointId>) {
        for assigned in self.assigned.values_mut() {
            if assigned.removed_at.is_none() && !listed.contains(&assigned.id) {
                assigned.removed_at = Some(Instant::now());
            }
        }
    }

    /// Drops the ids of endpoints that were removed longer ago than `REMOVED_ID_RETENTION`.
    pub fn drop_expired(&mut self) {
        let is_kept = |removed_at: Instant| removed_at.elapsed() < REMOVED_ID_RETENTION;
        self.assigned
            .retain(|_, assigned| assigned.removed_at.is_none_or(is_kept));
    }
}
