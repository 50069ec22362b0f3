//! A server's way from a cold start to its full capacity. Times are in ms.

/// A share that rises linearly to 1.
pub(crate) struct LinearRamp {
    pub(crate) start: f64,
    pub(crate) duration_ms: f64,
    pub(crate) initial_share: f64,
}

impl LinearRamp {
    /// The share at this time; none once it has reached 1.
    fn share_at(&self, now: f64) -> Option<f64> {
        let age_ms = now - self.start;
        if age_ms < self.duration_ms {
            let progress = (age_ms / self.duration_ms).clamp(0.0, 1.0);
            Some(self.initial_share + (1.0 - self.initial_share) * progress)
        } else {
            None
        }
    }
}

/// A token bucket that fills at a rate which rises with the server's capacity. It holds one token.
pub(crate) struct WarmUp {
    /// Boxed to keep the records of warm servers, which are nearly all, small.
    ramp: Option<Box<LinearRamp>>,
    tokens: f64,
    refilled_at: f64,
}

impl WarmUp {
    /// Without a ramp the server is warm.
    pub(crate) fn new(ramp: Option<LinearRamp>, tokens: f64, now: f64) -> Self {
        WarmUp {
            ramp: ramp.map(Box::new),
            tokens,
            refilled_at: now,
        }
    }

    /// Whether the server had a ramp, though it may have come to its end.
    pub(crate) fn has_ramp(&self) -> bool {
        self.ramp.is_some()
    }

    /// Share of its capacity that the server has; none once it is warm.
    pub(crate) fn capacity_share(&self, now: f64) -> Option<f64> {
        self.ramp.as_ref()?.share_at(now)
    }

    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token, or leaves a debt of it.
    pub(crate) fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// Fills in what has come since the last refill, at a rate in tokens a second for a warm server.
    pub(crate) fn refill(&mut self, now: f64, warm_rate: f64) {
        let elapsed_seconds = (now - self.refilled_at).max(0.0) / 1000.0;
        let earned = elapsed_seconds * warm_rate * self.capacity_share(now).unwrap_or(1.0);
        self.tokens = (self.tokens + earned).min(1.0);
        self.refilled_at = now;
    }
}

#[cfg(test)]
mod tests;
