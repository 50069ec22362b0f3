//! A token bucket: tokens are added up to a capacity, and whatever the bucket permits takes some.

/// A token bucket. Rate and capacity are the caller's, as they may change from one refill to the next.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
}

impl TokenBucket {
    /// A bucket that holds these tokens.
    pub(crate) fn new(tokens: f64) -> Self {
        TokenBucket { tokens }
    }

    /// Adds tokens up to the capacity.
    pub(crate) fn refill(&mut self, tokens: f64, capacity: f64) {
        self.tokens = (self.tokens + tokens).min(capacity);
    }

    /// Whether it holds at least these tokens.
    pub(crate) fn has(self, tokens: f64) -> bool {
        self.tokens >= tokens
    }

    /// Removes tokens, whether they are there or not.
    pub(crate) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}

#[cfg(test)]
mod tests;
