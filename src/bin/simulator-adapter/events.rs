//! Decodes event records of the simulator's protocol. Fields are read in the order in which they are encoded.

use crate::frame::{FieldError, Fields};
use crate::settings_text::SettingsError;
use quota_gateway::{AttemptEnd, Endpoint, EndpointState, Event, Outcome, Request};
use std::collections::BTreeMap;
use std::str::Utf8Error;
use thiserror::Error;

/// Codes of the event records, under the names of the protocol.
pub mod code {
    pub const HEALTH: u8 = 1;
    pub const RETIRE: u8 = 2;
    pub const ABORTED: u8 = 3;
    pub const COUNTER_REPLY: u8 = 4;
    pub const PROVISION: u8 = 5;
    pub const PEER: u8 = 6;
    pub const ESTABLISHED: u8 = 7;
    pub const FLEET: u8 = 8;
    pub const BELL: u8 = 9;
    pub const FINISHED: u8 = 10;
    pub const DEFINE_LIST: u8 = 11;
    pub const INCOMING: u8 = 12;
}

/// Scopes of a `FLEET` record: changed entries, a complete list, a cached complete list, or a failed poll.
mod scope {
    pub const DELTA: u8 = 0;
    pub const FULL: u8 = 1;
    pub const CACHED: u8 = 2;
    pub const FAILED: u8 = 3;
}

/// Codes of outcomes.
mod outcome_code {
    pub const OK: u8 = 0;
    pub const ERROR: u8 = 5;
    pub const FULL: u8 = 11;
    pub const RESET: u8 = 104;
    pub const TIMEOUT: u8 = 110;
    pub const CONNECT_FAILED: u8 = 111;
    pub const NOT_SENT: u8 = 114;
    pub const CANCELLED: u8 = 125;
}

/// Codes of endpoint states.
mod state_code {
    pub const GONE: u8 = 0;
    pub const READY: u8 = 1;
    pub const DRAINING: u8 = 2;
}

/// Length of one entry of an endpoint list, in bytes.
const ENTRY_BYTES: usize = 21;
/// The bit in an incoming request's `attrs` that marks a client's retry.
const RETRY_BIT: u8 = 2;

/// The endpoint lists defined so far, by number.
pub type EndpointLists = BTreeMap<u32, Vec<Endpoint>>;

/// A record that cannot be decoded or handled.
#[derive(Debug, Error)]
pub enum RecordError {
    #[error(transparent)]
    Field(#[from] FieldError),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("record at byte {record}: settings are not valid UTF-8: {error}")]
    SettingsNotUtf8 { record: usize, error: Utf8Error },
    #[error("record at byte {record}: unknown instance {instance}")]
    UnknownInstance { record: usize, instance: u32 },
    #[error("record at byte {record}: endpoint list {list} was not defined")]
    UnknownList { record: usize, list: u32 },
    #[error("record at byte {record}: unknown scope {scope} of an endpoint list")]
    UnknownScope { record: usize, scope: u8 },
    #[error("record at byte {record}: unknown event code {code}")]
    UnknownCode { record: usize, code: u8 },
    #[error("record at byte {record}: unknown outcome {outcome}")]
    UnknownOutcome { record: usize, outcome: u8 },
    #[error("record at byte {record}: unknown endpoint state {state}")]
    UnknownState { record: usize, state: u8 },
}

/// Decodes the fields that follow the instance in a record with this code. Returns `None` if the record is not an event
/// of the library.
pub fn decode(
    code: u8,
    fields: &mut Fields,
    lists: &EndpointLists,
) -> Result<Option<Event>, RecordError> {
    let event = match code {
        // Gateways send no health checks. The result of one is validated and ignored.
        code::HEALTH => {
            outcome(fields)?;
            return Ok(None);
        }
        code::ABORTED => Event::ClientDisconnected { id: fields.u64()? },
        code::COUNTER_REPLY => counter_reply(fields)?,
        code::PEER => peer(fields)?,
        code::ESTABLISHED => Event::ResponseStarted { id: fields.u64()? },
        code::FLEET => fleet(fields, lists)?,
        code::BELL => Event::TimerFired {
            token: fields.u64()?,
        },
        code::FINISHED => finished(fields)?,
        code::INCOMING => incoming(fields)?,
        code => {
            return Err(RecordError::UnknownCode {
                record: fields.position(),
                code,
            })
        }
    };
    Ok(Some(event))
}

/// Decodes the entries of a `DEFINE_LIST` record. The list's number has been read already.
pub fn decode_list(fields: &mut Fields) -> Result<Vec<Endpoint>, RecordError> {
    let entries = fields.tail(ENTRY_BYTES)?.chunks_exact(ENTRY_BYTES);
    entries
        .map(|entry| list_entry(&mut Fields::new(entry, &[], fields.position())))
        .collect()
}

fn list_entry(fields: &mut Fields) -> Result<Endpoint, RecordError> {
    let id = fields.u32()?;
    let zone = u32::from(fields.u8()?);
    let kind = u32::from(fields.u8()?);
    let cell = u32::from(fields.u16()?);
    let state = match fields.u8()? {
        state_code::GONE => EndpointState::Removed,
        state_code::READY => EndpointState::Ready,
        state_code::DRAINING => EndpointState::Draining,
        state => {
            return Err(RecordError::UnknownState {
                record: fields.position(),
                state,
            })
        }
    };
    let weight = fields.f32()?;
    let started_at = fields.f64()?;
    Ok(Endpoint {
        id,
        hash_key: id.into(),
        zone,
        kind,
        cell,
        state,
        weight,
        started_at,
    })
}

fn counter_reply(fields: &mut Fields) -> Result<Event, RecordError> {
    let outcome = outcome(fields)?;
    let key = fields.u64()?;
    let total = fields.f32()?;
    let elapsed_ms = fields.f64()?;
    Ok(Event::CounterReply {
        key,
        outcome,
        total,
        elapsed_ms,
    })
}

fn peer(fields: &mut Fields) -> Result<Event, RecordError> {
    let from = u32::from(fields.u16()?);
    let body = fields.tail(1)?.to_vec();
    Ok(Event::Gossip { from, body })
}

fn fleet(fields: &mut Fields, lists: &EndpointLists) -> Result<Event, RecordError> {
    let record = fields.position();
    let scope = fields.u8()?;
    let _version = fields.u64()?;
    let list = fields.u32()?;
    let complete = match scope {
        scope::DELTA => false,
        scope::FULL | scope::CACHED => true,
        scope::FAILED => return Ok(Event::EndpointPollFailed),
        scope => return Err(RecordError::UnknownScope { record, scope }),
    };
    let endpoints = lists
        .get(&list)
        .cloned()
        .ok_or(RecordError::UnknownList { record, list })?;
    Ok(Event::EndpointUpdate {
        complete,
        endpoints,
    })
}

fn finished(fields: &mut Fields) -> Result<Event, RecordError> {
    let id = fields.u64()?;
    let attempt = fields.u8()?;
    let request_answered = fields.u8()? != 0;
    let endpoint = fields.u32()?;
    let actual_units = Some(f64::from(fields.u16()?)).filter(|units| *units > 0.0);
    let elapsed_ms = fields.f64()?;
    let outcome = outcome(fields)?;
    Ok(Event::AttemptEnded(AttemptEnd {
        id,
        attempt,
        endpoint,
        outcome,
        request_answered,
        actual_units,
        elapsed_ms,
    }))
}

fn incoming(fields: &mut Fields) -> Result<Event, RecordError> {
    let id = fields.u64()?;
    let _first_gateway = fields.f32()?;
    let gateway_set_size = fields.f32()?;
    let is_retry = fields.u8()? & RETRY_BIT != 0;
    let units = fields.f32()?;
    let customer = fields.u64()?;
    let class = u32::from(fields.u8()?);
    let timeout_ms = fields.f64()?;
    let plan = u32::from(fields.u16()?);
    Ok(Event::Request(Request {
        id,
        customer,
        plan,
        class,
        units,
        timeout_ms,
        gateway_set_size,
        is_retry,
    }))
}

fn outcome(fields: &mut Fields) -> Result<Outcome, RecordError> {
    match fields.u8()? {
        outcome_code::OK => Ok(Outcome::Success),
        outcome_code::ERROR => Ok(Outcome::ErrorResponse),
        outcome_code::FULL => Ok(Outcome::Rejected),
        outcome_code::RESET => Ok(Outcome::ConnectionReset),
        outcome_code::TIMEOUT => Ok(Outcome::Timeout),
        outcome_code::CONNECT_FAILED => Ok(Outcome::ConnectFailed),
        outcome_code::NOT_SENT => Ok(Outcome::NotSent),
        outcome_code::CANCELLED => Ok(Outcome::Cancelled),
        outcome => Err(RecordError::UnknownOutcome {
            record: fields.position(),
            outcome,
        }),
    }
}
