//! The messages between gateways, which state the units that customers used, and their binary encoding.

use crate::api::CustomerId;
use std::collections::BTreeMap;

/// Version of the encoding. Messages of other versions are ignored.
const VERSION: u8 = 2;
/// Length of a customer id in a message, in bytes.
const CUSTOMER_BYTES: usize = 5;
/// Length of one usage entry in bytes: customer id (5), plan (1), and signed units in hundredths (2).
const USAGE_BYTES: usize = 8;
/// Maximum number of usage entries in one message, so that the message fits into 256 bytes.
const MAX_USAGES: usize = 31;
/// Exclusive upper limit of customer ids.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Hundredths per unit.
const HUNDREDTHS: f64 = 100.0;

/// The recipient index that addresses all other gateways.
pub(crate) const ALL_GATEWAYS: u32 = u32::MAX;

/// Units that a customer used at the sending gateway. A negative number is a refund.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Usage {
    pub(crate) customer: CustomerId,
    pub(crate) plan: u8,
    pub(crate) units: f64,
}

/// A message between gateways.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Message {
    /// Whether the counter recently lacked the capacity for a call of the sender.
    pub(crate) has_recent_shortage: bool,
    pub(crate) usages: Vec<Usage>,
}

/// Reason why bytes cannot be decoded as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum DecodeError {
    #[error("message is shorter than its header")]
    Truncated,
    #[error("unknown message version {0}")]
    UnknownVersion(u8),
    #[error("shortage flag is {0}, expected 0 or 1")]
    InvalidFlag(u8),
    #[error("usage entries of {0} bytes exceed the limit or end within an entry")]
    InvalidLength(usize),
    #[error("customer id {0} is out of range, expected less than {CUSTOMER_LIMIT}")]
    InvalidCustomer(CustomerId),
}

impl Message {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut body = vec![VERSION, u8::from(self.has_recent_shortage)];
        for usage in self.usages.iter().take(MAX_USAGES) {
            body.extend(&usage.customer.to_le_bytes()[..CUSTOMER_BYTES]);
            body.push(usage.plan);
            body.extend(((usage.units * HUNDREDTHS).round() as i16).to_le_bytes());
        }
        body
    }

    pub(crate) fn decode(body: &[u8]) -> Result<Message, DecodeError> {
        let (&[version, flag], entries) = body.split_first_chunk().ok_or(DecodeError::Truncated)?;
        if version != VERSION {
            return Err(DecodeError::UnknownVersion(version));
        }
        if flag > 1 {
            return Err(DecodeError::InvalidFlag(flag));
        }
        if entries.len() % USAGE_BYTES != 0 || entries.len() > MAX_USAGES * USAGE_BYTES {
            return Err(DecodeError::InvalidLength(entries.len()));
        }
        let usages = entries
            .chunks_exact(USAGE_BYTES)
            .map(decode_usage)
            .collect::<Result<_, _>>()?;
        Ok(Message {
            has_recent_shortage: flag == 1,
            usages,
        })
    }
}

/// Decodes one entry, which must have `USAGE_BYTES` bytes.
fn decode_usage(entry: &[u8]) -> Result<Usage, DecodeError> {
    let mut number = [0; 8];
    number[..CUSTOMER_BYTES].copy_from_slice(&entry[..CUSTOMER_BYTES]);
    let customer = u64::from_le_bytes(number);
    if customer >= CUSTOMER_LIMIT {
        return Err(DecodeError::InvalidCustomer(customer));
    }
    let hundredths = i16::from_le_bytes([entry[6], entry[7]]);
    Ok(Usage {
        customer,
        plan: entry[5],
        units: f64::from(hundredths) / HUNDREDTHS,
    })
}

/// Usage that has not been sent to the other gateways, summed by customer.
#[derive(Default)]
pub(crate) struct UnsentUsage(BTreeMap<CustomerId, Usage>);

impl UnsentUsage {
    pub(crate) fn add(&mut self, customer: CustomerId, plan: u8, units: f64) {
        self.0
            .entry(customer)
            .or_insert(Usage {
                customer,
                plan,
                units: 0.0,
            })
            .units += units;
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Removes and returns as many entries as fit into one message.
    pub(crate) fn take_for_message(&mut self) -> Vec<Usage> {
        std::iter::from_fn(|| self.0.pop_first())
            .take(MAX_USAGES)
            .map(|(_, usage)| usage)
            .collect()
    }
}

#[cfg(test)]
mod tests;
