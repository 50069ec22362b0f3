//! A token bucket: tokens are added up to a capacity, and each permitted action consumes some.

/// A token bucket. The caller passes rate and capacity, as these may change from one refill to the next.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
}

impl TokenBucket {
    /// Creates a bucket with these tokens.
    pub(crate) fn new(tokens: f64) -> Self {
        TokenBucket { tokens }
    }

    /// Adds tokens up to the capacity.
    pub(crate) fn add_tokens(&mut self, tokens: f64, capacity: f64) {
        self.tokens = (self.tokens + tokens).min(capacity);
    }

    /// Returns whether the bucket holds at least these tokens.
    pub(crate) fn has_tokens(self, tokens: f64) -> bool {
        self.tokens >= tokens
    }

    /// Removes tokens. The number of tokens may become negative.
    pub(crate) fn consume_tokens(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}

#[cfg(test)]
mod tests;
