//! The longest wait of a test.

use std::time::Duration;

/// Tests wait for conditions, not for times; this only ends a test that has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
