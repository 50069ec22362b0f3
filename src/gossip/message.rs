//! The messages between gateways: which customers used how many units, and their encoding in bytes.

use crate::api::CustomerId;
use std::collections::BTreeMap;

/// The version of the encoding; messages of other versions are ignored.
const VERSION: u8 = 2;
/// Bytes of a customer's number in a message.
const CUSTOMER_BYTES: usize = 5;
/// Bytes of one customer's usage: its number, its plan (1 byte), and its units in hundredths (2 bytes).
const USAGE_BYTES: usize = 8;
/// Most customers in one message, which has to fit into 256 bytes.
const MAX_USAGES: usize = 31;
/// Customer numbers are below this.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Hundredths in a unit.
const HUNDREDTHS: f64 = 100.0;

/// The recipient that stands for all other gateways.
pub(crate) const ALL_GATEWAYS: u32 = u32::MAX;

/// Units that a customer used at the sending gateway, or was refunded if negative.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Usage {
    pub(crate) customer: CustomerId,
    pub(crate) plan: u8,
    pub(crate) units: f64,
}

/// A message between gateways.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Message {
    /// The counter was short of capacity for a call of the sender.
    pub(crate) counter_short: bool,
    pub(crate) usages: Vec<Usage>,
}

/// Why bytes could not be decoded as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum DecodeError {
    #[error("the message ends within its header")]
    Truncated,
    #[error("version {0} is not known")]
    UnknownVersion(u8),
    #[error("{0} is neither 0 nor 1")]
    InvalidFlag(u8),
    #[error("{0} bytes of usage are too many or not whole entries")]
    InvalidLength(usize),
    #[error("customer number {0} is out of range")]
    InvalidCustomer(CustomerId),
}

impl Message {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut body = vec![VERSION, u8::from(self.counter_short)];
        for usage in self.usages.iter().take(MAX_USAGES) {
            body.extend(&usage.customer.to_le_bytes()[..CUSTOMER_BYTES]);
            body.push(usage.plan);
            body.extend(((usage.units * HUNDREDTHS).round() as i16).to_le_bytes());
        }
        body
    }

    pub(crate) fn decode(body: &[u8]) -> Result<Message, DecodeError> {
        let (&[version, counter_short], entries) =
            body.split_first_chunk().ok_or(DecodeError::Truncated)?;
        if version != VERSION {
            return Err(DecodeError::UnknownVersion(version));
        }
        if counter_short > 1 {
            return Err(DecodeError::InvalidFlag(counter_short));
        }
        if entries.len() % USAGE_BYTES != 0 || entries.len() > MAX_USAGES * USAGE_BYTES {
            return Err(DecodeError::InvalidLength(entries.len()));
        }
        let usages = entries
            .chunks_exact(USAGE_BYTES)
            .map(decode_usage)
            .collect::<Result<_, _>>()?;
        Ok(Message {
            counter_short: counter_short == 1,
            usages,
        })
    }
}

/// Decodes the `USAGE_BYTES` bytes of one entry.
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

/// Usage that has not been sent to the other gateways yet, summed by customer.
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

    /// Removes as much as fits into one message.
    pub(crate) fn take_for_message(&mut self) -> Vec<Usage> {
        std::iter::from_fn(|| self.0.pop_first())
            .take(MAX_USAGES)
            .map(|(_, usage)| usage)
            .collect()
    }
}

#[cfg(test)]
mod tests;
