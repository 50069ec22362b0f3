//! The headers of the protocol with clients and endpoints, spelled as they are written on the wire. They are read in any case.

/// The client's id of the transaction.
pub const TRANSACTION_ID: &str = "X-Txn";
/// The idempotency key by which endpoints deduplicate retries.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// The class; also the first segment of the path.
pub const CLASS: &str = "X-Lane";
/// The customer's plan.
pub const PLAN: &str = "X-Plan";
/// Time that the client still waits.
pub const REMAINING_MS: &str = "X-Remaining-Ms";
/// Estimated units of the request, and the gateways that the customer's requests are spread over.
pub const QUOTA: &str = "X-Quota";
/// `1` on a retry.
pub const RETRY: &str = "X-Resent";
