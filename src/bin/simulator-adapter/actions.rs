//! Encodes actions as action records of the simulator's protocol.

use crate::frame::Reply;
use quota_gateway::Action;

/// Codes of the action records, under the names of the protocol.
mod code {
    pub const ISSUE: u8 = 65;
    pub const BUSY: u8 = 66;
    pub const GIVE_UP: u8 = 67;
    pub const REVOKE: u8 = 68;
    pub const REMIND: u8 = 69;
    pub const NOTIFY: u8 = 72;
    pub const TAIL: u8 = 75;
    pub const ADD_AND_GET: u8 = 77;
}

/// Value of a `TAIL` record that subscribes to changes of the endpoint list; 0 would end the subscription.
const SUBSCRIBE: u8 = 1;

/// Adds a record to the reply for an action of an instance.
pub fn encode(action: &Action, instance: u32, reply: &mut Reply) {
    match action {
        // The start timeout is left out, as the simulator sends an attempt immediately.
        Action::SendAttempt {
            id,
            endpoint,
            timeout_ms,
            ..
        } => {
            reply
                .record(code::ISSUE, instance)
                .u64(*id)
                .f64(*timeout_ms)
                .u32(*endpoint);
        }
        Action::Reject { id, retry_after_ms } => {
            reply
                .record(code::BUSY, instance)
                .u64(*id)
                .f64(*retry_after_ms);
        }
        Action::Fail { id } => {
            reply.record(code::GIVE_UP, instance).u64(*id);
        }
        Action::CancelAttempt { id, attempt } => {
            reply.record(code::REVOKE, instance).u64(*id).u8(*attempt);
        }
        Action::SetTimer { token, after_ms } => {
            reply
                .record(code::REMIND, instance)
                .u64(*token)
                .f64(*after_ms);
        }
        Action::Gossip { to, body } => {
            reply.record(code::NOTIFY, instance).u32(*to).tail(body);
        }
        Action::WatchEndpoints => {
            reply.record(code::TAIL, instance).u8(SUBSCRIBE);
        }
        Action::AddToCounter {
            key,
            amount,
            ttl_ms,
        } => {
            reply
                .record(code::ADD_AND_GET, instance)
                .u64(*key)
                .f32(*amount as f32)
                .f64(*ttl_ms);
        }
    }
}
