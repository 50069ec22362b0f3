//! When gateways exchange their customers' usage: while the counter has no capacity for all calls.

use super::message::{Message, UnsentUsage, Usage, ALL_GATEWAYS};
use crate::api::{Action, Millis};
use crate::state::{Account, Context, Timer};

/// Usage is exchanged for this time after the last shortage of the counter's capacity, in ms.
const EXCHANGE_MS: Millis = 10_000.0;
/// Time between two messages of a gateway, in ms for each other gateway. So the number of messages that a gateway
/// receives per second doesn't grow with the fleet.
const INTERVAL_PER_GATEWAY_MS: Millis = 25.0;

/// The exchange of usage with the other gateways.
#[derive(Default)]
pub(crate) struct UsageExchange {
    unsent: UnsentUsage,
    timer_set: bool,
    /// When the counter was last short of capacity for a call of this gateway.
    local_shortage_at: Option<Millis>,
    /// When it last was for a call of any gateway, as far as this one knows.
    fleet_shortage_at: Option<Millis>,
}

impl UsageExchange {
    /// Whether usage is exchanged at present.
    pub(crate) fn is_active(&self, cx: &Context) -> bool {
        let permitted = cx.settings.limits.gossip && cx.settings.gateway_count > 1;
        permitted && is_recent(cx.now, self.fleet_shortage_at)
    }

    /// The counter was short of capacity for a call of this gateway.
    pub(crate) fn record_shortage(&mut self, now: Millis) {
        self.local_shortage_at = Some(now);
        self.fleet_shortage_at = Some(now);
    }

    /// A customer used units here, or was refunded if negative.
    pub(crate) fn record_usage(&mut self, cx: &mut Context, account: Account, units: f64) {
        if self.is_active(cx) {
            self.unsent.add(account.customer, account.plan as u8, units);
            self.set_timer(cx);
        }
    }

    /// The timer has fired: sends as much as fits into one message, and sets the timer again for the rest.
    pub(crate) fn send(&mut self, cx: &mut Context) {
        self.timer_set = false;
        let usages = self.unsent.take_for_message();
        let counter_short = is_recent(cx.now, self.local_shortage_at);
        let body = Message {
            counter_short,
            usages,
        }
        .encode();
        cx.actions.push(Action::Gossip {
            to: ALL_GATEWAYS,
            body,
        });
        self.set_timer(cx);
    }

    /// The usage at the gateway `from` that its message states. An invalid message, one of an unknown gateway, or one
    /// where gossip isn't permitted, is ignored.
    pub(crate) fn receive(&mut self, cx: &Context, from: u32, body: &[u8]) -> Vec<Usage> {
        let known = from < cx.settings.gateway_count && from != cx.settings.gateway_index;
        if !known || !cx.settings.limits.gossip {
            return Vec::new();
        }
        let Ok(message) = Message::decode(body) else {
            return Vec::new();
        };
        if message.counter_short {
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
