//! The headers of the protocol with clients, in lower case.

/// The client's id of the transaction.
pub const TRANSACTION_ID: &str = "x-txn";
/// The idempotency key by which endpoints deduplicate retries.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The class; also the first segment of the path.
pub const CLASS: &str = "x-lane";
/// The customer's plan.
pub const PLAN: &str = "x-plan";
/// Time that the client still waits.
pub const REMAINING_MS: &str = "x-remaining-ms";
/// Estimated units of the request, and the gateways that the customer's requests are spread over.
pub const QUOTA: &str = "x-quota";
/// `1` on a retry.
pub const RETRY: &str = "x-resent";
