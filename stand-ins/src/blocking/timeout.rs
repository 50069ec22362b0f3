//! The timeout for waits in tests.

use std::time::Duration;

/// Longest wait for a condition. Tests wait for conditions rather than times, so only a failing test waits this long.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
