//! What was seen of each request, and the rules that it is judged by.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt::{Display, Formatter};
use std::time::Duration;
use tokio::time::Instant;

/// On sockets each time limit of the rules is this much longer.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// An attempt may begin this long after its client has closed.
const CLOSE_GRACE: Duration = Duration::from_millis(100);
/// An attempt may tell this much more time than its client has left.
const REMAINING_SLACK: Duration = Duration::from_millis(150);
/// Below this number of requests a cold endpoint has the wider margin.
const FEW_REQUESTS: f64 = 30.0;

/// The classes of requests of the soak test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Idempotent.
    Look,
    /// With an idempotency key, which all endpoints know for a time.
    Order,
    /// Must not be executed twice.
    Once,
}

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Executed more than once.
    Duplicate,
    /// No final answer, or a connection closed in place of one.
    Lost,
    /// Sent to an endpoint past the grace time of its draining.
    Drain,
    /// Sent for a client that had closed its connection.
    ClientGone,
    /// More time propagated than the client has left.
    Remaining,
    /// A success that no endpoint made for this request.
    WrongAnswer,
    /// A cold endpoint got more than it bears.
    SlowStart,
    /// A process crashed, was not ready or did not end in time.
    Process,
    /// A client that misbehaves got neither an error nor a close in time.
    MisbehavingClient,
    /// The gateway's own check found a broken rule.
    OwnCheck,
}

/// A broken rule and where.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Ids, times, figures.
    pub detail: String,
    /// Time since the start of the run.
    pub at: Duration,
}

impl Display for Violation {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{:8.3} s {:?}: {}",
            self.at.as_secs_f64(),
            self.rule,
            self.detail
        )
    }
}

/// Figures of the rules, as the gateways get them.
#[derive(Clone, Copy, Debug)]
pub struct RuleFigures {
    /// Grace after the notice of draining.
    pub drain_grace: Duration,
    /// How long endpoints know the key of an order.
    pub key_window: Duration,
    /// A cold endpoint's window and what it bears in it at first, in requests.
    pub overload_window: Duration,
    /// Requests a second of a warm endpoint.
    pub capacity_per_s: f64,
    /// Share of it at the start.
    pub initial_share: f64,
    /// Time until an endpoint is warm.
    pub warm_up: Duration,
    /// Multiple of its capacity under which it falls.
    pub overload_multiple: f64,
}

/// What was seen of one request.
struct Seen {
    class: Class,
    gateway: usize,
    sent_at: Instant,
    remaining: Duration,
    closed_at: Option<Instant>,
    attempts: u32,
    executed_at: Vec<Instant>,
}

/// What an endpoint has of an attempt, once it has come whole.
#[derive(Clone, Copy, Debug)]
pub struct SeenAttempt {
    /// The request's id.
    pub transaction: u64,
    /// The endpoint's number.
    pub endpoint: usize,
    /// When its first byte came.
    pub began_at: Instant,
    /// The remaining time that its endpoint was told.
    pub propagated_deadline: Duration,
    /// When the gateway was notified that the endpoint takes nothing new, if it was.
    pub drain_notified_at: Option<Instant>,
    /// When the endpoint started, if it may still be cold.
    pub started_at: Option<Instant>,
    /// How late the stand-ins run at present.
    pub lag: Duration,
}

/// Collects what the stand-ins see, and finds broken rules.
pub struct Judge {
    started_at: Instant,
    figures: RuleFigures,
    requests: HashMap<u64, Seen>,
    /// The attempts that cold endpoints got.
    cold: HashMap<usize, VecDeque<Instant>>,
    /// The broken rules, in the order in which they were found.
    pub violations: Vec<Violation>,
    /// What was counted, by name.
    pub counts: BTreeMap<String, u64>,
}

impl Judge {
    /// Nothing seen yet.
    #[must_use]
    pub fn new(figures: RuleFigures) -> Self {
        Judge {
            started_at: Instant::now(),
            figures,
            requests: HashMap::new(),
            cold: HashMap::new(),
            violations: Vec::new(),
            counts: BTreeMap::new(),
        }
    }

    /// Counts one of these.
    pub fn count(&mut self, name: &str) {
        *self.counts.entry(name.to_owned()).or_default() += 1;
    }

    /// Keeps the largest of these figures.
    pub fn note_largest(&mut self, name: &str, figure: u64) {
        let largest = self.counts.entry(name.to_owned()).or_default();
        *largest = figure.max(*largest);
    }

    /// A rule was broken.
    pub fn report(&mut self, rule: Rule, detail: String) {
        self.violations.push(Violation {
            rule,
            detail,
            at: self.started_at.elapsed(),
        });
    }

    /// The last byte of a request is about to be written, for the first time or, on another connection, again.
    pub fn request_sent(
        &mut self,
        transaction: u64,
        class: Class,
        gateway: usize,
        remaining: Duration,
    ) {
        let sent_at = Instant::now();
        let seen = self.requests.entry(transaction).or_insert(Seen {
            class,
            gateway,
            sent_at,
            remaining,
            closed_at: None,
            attempts: 0,
            executed_at: Vec::new(),
        });
        seen.gateway = gateway;
        seen.sent_at = sent_at;
    }

    /// The client has closed its connection, and waits for nothing.
    pub fn client_closed(&mut self, transaction: u64) {
        self.count("clients that left");
        if let Some(seen) = self.requests.get_mut(&transaction) {
            seen.closed_at = Some(Instant::now());
        }
    }

    /// The gateway that a request was sent to.
    #[must_use]
    pub fn gateway_of(&self, transaction: u64) -> Option<usize> {
        self.requests.get(&transaction).map(|seen| seen.gateway)
    }

    /// True if an endpoint has got an attempt of this request.
    #[must_use]
    pub fn was_forwarded(&self, transaction: u64) -> bool {
        self.requests
            .get(&transaction)
            .is_some_and(|seen| seen.attempts > 0)
    }

    /// An attempt has come whole to an endpoint.
    pub fn attempt(&mut self, attempt: SeenAttempt) {
        self.count("attempts");
        let Some(seen) = self.requests.get_mut(&attempt.transaction) else {
            let detail = format!("txn {:016x}: an attempt of no request", attempt.transaction);
            return self.report(Rule::WrongAnswer, detail);
        };
        seen.attempts += 1;
        let client_deadline = seen.sent_at + seen.remaining;
        let left = client_deadline.saturating_duration_since(attempt.began_at);
        let late_by = |since: Option<Instant>| {
            since.map_or(Duration::ZERO, |since| {
                attempt.began_at.saturating_duration_since(since)
            })
        };
        let after_close = late_by(seen.closed_at);
        let after_drain = late_by(attempt.drain_notified_at);
        let ids = format!(
            "txn {:016x} of gateway {} at endpoint {}",
            attempt.transaction, seen.gateway, attempt.endpoint
        );
        if after_close > CLOSE_GRACE + attempt.lag {
            self.report(
                Rule::ClientGone,
                format!("{ids}: {after_close:?} after the close"),
            );
        }
        if after_drain > self.figures.drain_grace + SOCKET_SLACK + attempt.lag {
            self.report(
                Rule::Drain,
                format!("{ids}: {after_drain:?} after the notice"),
            );
        }
        if attempt.propagated_deadline > left + REMAINING_SLACK + attempt.lag {
            self.report(
                Rule::Remaining,
                format!(
                    "{ids}: {:?} propagated, {left:?} left",
                    attempt.propagated_deadline
                ),
            );
        }
        if let Some(started_at) = attempt.started_at {
            self.check_slow_start(&attempt, started_at, &ids);
        }
    }

    fn check_slow_start(&mut self, attempt: &SeenAttempt, started_at: Instant, ids: &str) {
        let figures = self.figures;
        let age = attempt.began_at.saturating_duration_since(started_at);
        if age >= figures.warm_up {
            self.cold.remove(&attempt.endpoint);
            return;
        }
        let recent = self.cold.entry(attempt.endpoint).or_default();
        let window = figures.overload_window;
        while recent
            .front()
            .is_some_and(|at| attempt.began_at.saturating_duration_since(*at) > window)
        {
            recent.pop_front();
        }
        recent.push_back(attempt.began_at);
        let count = recent.len() as f64;
        let progress = age.as_secs_f64() / figures.warm_up.as_secs_f64();
        let share = figures.initial_share + (1.0 - figures.initial_share) * progress;
        let borne =
            figures.overload_multiple * share * figures.capacity_per_s * window.as_secs_f64();
        let margin = if borne < FEW_REQUESTS { 3.0 } else { 2.0 };
        if count > borne + margin * borne.sqrt() + margin {
            self.report(
                Rule::SlowStart,
                format!("{ids}: {count} in {window:?}, {borne:.0} borne"),
            );
        }
    }

    /// An endpoint begins to execute a request. Returns false if it drops it, as it knows the key.
    pub fn executed(&mut self, transaction: u64, endpoint: usize) -> bool {
        let now = Instant::now();
        let key_window = self.figures.key_window;
        let Some(seen) = self.requests.get_mut(&transaction) else {
            return true;
        };
        let first = seen.executed_at.first().copied();
        let is_known =
            seen.class == Class::Order && first.is_some_and(|first| now - first < key_window);
        if is_known {
            return false;
        }
        seen.executed_at.push(now);
        if seen.class != Class::Look && seen.executed_at.len() > 1 {
            let since = first.map(|first| now - first);
            let detail = format!(
                "txn {transaction:016x} ({:?}) at endpoint {endpoint}: again after {since:?}",
                seen.class
            );
            self.report(Rule::Duplicate, detail);
        }
        true
    }

    /// A request has its final answer.
    pub fn answered(&mut self, transaction: u64, status: u16, body: &[u8]) {
        self.count(&format!("answers {status}"));
        let executed = self
            .requests
            .get(&transaction)
            .is_some_and(|seen| !seen.executed_at.is_empty());
        if status == 200 && (!executed || body != answer_body(transaction).as_bytes()) {
            let text = String::from_utf8_lossy(body).into_owned();
            self.report(
                Rule::WrongAnswer,
                format!("txn {transaction:016x}: {text:?}"),
            );
        }
    }

    /// A request has no final answer.
    pub fn lost(&mut self, transaction: u64, how: &str) {
        let gateway = self.gateway_of(transaction);
        let forwarded = self.was_forwarded(transaction);
        let detail =
            format!("txn {transaction:016x} of gateway {gateway:?}, forwarded: {forwarded}: {how}");
        self.report(Rule::Lost, detail);
    }
}

/// The body that endpoints make for a request.
#[must_use]
pub fn answer_body(transaction: u64) -> String {
    format!("quote for {transaction:016x}")
}

#[cfg(test)]
mod tests;
