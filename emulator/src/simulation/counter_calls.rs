//! Calls of gateways to the shared counter.

use super::event::{Event, GatewayProcess};
use super::Simulation;
use crate::{ms_to_micros, Micros};
use quota_gateway::{Event as GatewayEvent, Outcome};

/// A call whose reply the gateway awaits.
pub(super) struct CounterCall {
    process: GatewayProcess,
    key: u64,
    sent_at: Micros,
}

impl Simulation<'_> {
    /// Sends a call from a gateway to the counter and schedules its timeout.
    pub(super) fn call_counter(&mut self, gateway: u32, key: u64, amount: f64, ttl_ms: f64) {
        let Some(counter) = &self.counter else { return };
        let counter_zone = counter.zone;
        let timeout = counter.timeout;
        let call = self.queue.next_id();
        let caller = &self.gateways[gateway as usize];
        let gateway_zone = caller.zone;
        let sent_at = self.queue.now();
        self.counter_calls.insert(
            call,
            CounterCall {
                process: caller.process,
                key,
                sent_at,
            },
        );
        if self.is_measuring() {
            self.recorder.report.counter.calls += 1;
        }
        if let Some(delay) = self.network.delay(gateway_zone, counter_zone) {
            let ttl = ms_to_micros(ttl_ms);
            self.queue
                .schedule_in(delay, Event::CounterCallArrives { call, amount, ttl });
        }
        let timed_out = Event::CounterCallEnds {
            call,
            outcome: Outcome::Timeout,
            total: 0.0,
        };
        self.queue.schedule_in(timeout, timed_out);
    }

    /// Handles the arrival of a call at the counter and schedules the reply.
    pub(super) fn counter_call_arrives(&mut self, call: u64, amount: f64, ttl: Micros) {
        let now = self.queue.now();
        let Some(CounterCall { process, key, .. }) = self.counter_calls.get(&call) else {
            return;
        };
        let gateway_zone = self.gateways[process.index as usize].zone;
        let Some(counter) = &mut self.counter else {
            return;
        };
        if counter.down {
            return;
        }
        let Some(delay) = self.network.delay(counter.zone, gateway_zone) else {
            return;
        };
        let Some(served) = counter.add(now, *key, amount, ttl) else {
            let reply = Event::CounterCallEnds {
                call,
                outcome: Outcome::Rejected,
                total: 0.0,
            };
            self.queue.schedule_in(delay, reply);
            return;
        };
        let reply = Event::CounterCallEnds {
            call,
            outcome: Outcome::Success,
            total: served.total,
        };
        self.queue.schedule(served.completed_at + delay, reply);
    }

    /// Ends a call for its gateway, by a reply or a timeout. Later ends of the same call are ignored.
    pub(super) fn counter_call_ends(&mut self, call: u64, outcome: Outcome, total: f64) {
        let Some(CounterCall {
            process,
            key,
            sent_at,
        }) = self.counter_calls.remove(&call)
        else {
            return;
        };
        if self.is_measuring() {
            let stats = &mut self.recorder.report.counter;
            match outcome {
                Outcome::Timeout => stats.timed_out += 1,
                Outcome::Rejected => stats.rejected += 1,
                _ => {}
            }
        }
        if !self.is_running(process) {
            return;
        }
        let elapsed_ms = (self.queue.now() - sent_at) as f64 / 1000.0;
        let reply = GatewayEvent::CounterReply {
            key,
            outcome,
            total,
            elapsed_ms,
        };
        self.notify_gateway(process.index, reply);
    }
}
