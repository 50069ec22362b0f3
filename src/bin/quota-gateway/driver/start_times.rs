//! When endpoints started. The list states it by the clock of the endpoint's machine, and this machine's clock may be
//! off; but a start that discovery reports as news can't be long past.

use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// A change reaches discovery, and from there the gateways, within this time, in ms: the site assumes that a gateway
/// knows it by then.
const PROPAGATION_MS: f64 = 6000.0;

/// Judges the starts that lists state.
#[derive(Default)]
pub struct StartTimes {
    /// When discovery last reported all changes up to then; none before the first time.
    synced_at: Option<Instant>,
}

impl StartTimes {
    /// Discovery has reported all changes up to now.
    pub fn synced(&mut self) {
        self.synced_at = Some(Instant::now());
    }

    /// The time of a start that was not known before, in Unix milliseconds of this machine. `started_ms` is the listed
    /// one, 0 for one long past; `now_ms` the present time. A start that lies ahead, or is older than the last word from
    /// discovery allows, is taken for one of now: one of the clocks is off, and a cold endpoint must not be taken for a
    /// warm one.
    pub fn judge(&self, started_ms: f64, now_ms: f64) -> f64 {
        let started_ms = started_ms.min(now_ms);
        let Some(synced_at) = self.synced_at else {
            return started_ms;
        };
        let max_age_ms = synced_at.elapsed().as_secs_f64() * 1000.0 + PROPAGATION_MS;
        if started_ms > 0.0 && now_ms - started_ms > max_age_ms {
            now_ms
        } else {
            started_ms
        }
    }
}
