//! Names of the headers in the protocol with clients and endpoints, in the case in which they are written on the wire.
//! They are read case-insensitively.

/// Transaction id, which the client chooses.
pub const TRANSACTION_ID: &str = "X-Txn";
/// Idempotency key by which endpoints deduplicate retries.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Class of the request, which is also the first segment of the path.
pub const CLASS: &str = "X-Lane";
/// Plan of the customer.
pub const PLAN: &str = "X-Plan";
/// Time for which the client still waits, in ms.
pub const REMAINING_MS: &str = "X-Remaining-Ms";
/// Estimated units of the request, and the gateways over which the customer's requests are spread.
pub const QUOTA: &str = "X-Quota";
/// Marks a retry by the value `1`.
pub const RETRY: &str = "X-Resent";
