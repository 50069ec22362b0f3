//! The exchange of customers' usage between gateways. Usage is exchanged only while the shared counter lacks the
//! capacity for all calls.

use super::message::{Message, UnsentUsage, Usage, ALL_GATEWAYS};
use crate::api::{Action, Millis};
use crate::state::{Account, Context, Timer};

/// Time for which usage is exchanged after the last shortage of the counter's capacity, in ms.
const EXCHANGE_MS: Millis = 10_000.0;
/// Interval between two messages of a gateway, in ms per other gateway. The interval grows with the fleet, so that the
/// number of messages that a gateway receives per second does not.
const INTERVAL_PER_GATEWAY_MS: Millis = 25.0;

/// One gateway's exchange of usage with the other gateways.
#[derive(Default)]
pub(crate) struct UsageExchange {
    unsent: UnsentUsage,
    /// Whether the timer of the next message is set.
    timer_set: bool,
    /// Time at which the counter last lacked the capacity for a call of this gateway.
    local_shortage_at: Option<Millis>,
    /// Time at which the counter last lacked the capacity for a call of any gateway, as far as this gateway knows.
    fleet_shortage_at: Option<Millis>,
}

impl UsageExchange {
    /// Whether usage is currently exchanged.
    pub(crate) fn is_active(&self, cx: &Context) -> bool {
        let permitted = cx.settings.limits.gossip && cx.settings.gateway_count > 1;
        permitted && is_recent(cx.now, self.fleet_shortage_at)
    }

    /// Records that the counter lacked the capacity for a call of this gateway.
    pub(crate) fn record_shortage(&mut self, now: Millis) {
        self.local_shortage_at = Some(now);
        self.fleet_shortage_at = Some(now);
    }

    /// Records units that a customer used at this gateway. A negative number is a refund.
    pub(crate) fn record_usage(&mut self, cx: &mut Context, account: Account, units: f64) {
        if self.is_active(cx) {
            self.unsent.add(account.customer, account.plan as u8, units);
            self.set_timer(cx);
        }
    }

    /// Handles the timer: sends as much usage as fits into one message, and sets the timer again if some is left.
    pub(crate) fn send(&mut self, cx: &mut Context) {
        self.timer_set = false;
        let usages = self.unsent.take_for_message();
        let has_recent_shortage = is_recent(cx.now, self.local_shortage_at);
        let body = Message {
            has_recent_shortage,
            usages,
        }
        .encode();
        cx.actions.push(Action::Gossip {
            to: ALL_GATEWAYS,
            body,
        });
        self.set_timer(cx);
    }

    /// Returns the usage that a message of the gateway `from` states. Messages that are invalid or from an unknown
    /// gateway are ignored, and so are all messages if gossip isn't permitted.
    pub(crate) fn receive(&mut self, cx: &Context, from: u32, body: &[u8]) -> Vec<Usage> {
        let known = from < cx.settings.gateway_count && from != cx.settings.gateway_index;
        if !known || !cx.settings.limits.gossip {
            return Vec::new();
        }
        let Ok(message) = Message::decode(body) else {
            return Vec::new();
        };
        if message.has_recent_shortage {
            self.fleet_shortage_at = Some(cx.now);
        }
        message.usages
    }

    fn set_timer(&mut self, cx: &mut Context) {
        if !self.unsent.is_empty() && !std::mem::replace(&mut self.timer_set, true) {
            cx.set_timer(
                Timer::Gossip,
                INTERVAL_PER_GATEWAY_MS * f64::from(cx.settings.gateway_count - 1),
            );
        }
    }
}

fn is_recent(now: Millis, shortage_at: Option<Millis>) -> bool {
    shortage_at.is_some_and(|at| now - at < EXCHANGE_MS)
}
