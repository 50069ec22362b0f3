//! What an experiment has shown: counts and figures, the same for the same experiment and seed.

pub use crate::rules::Broken;
use hdrhistogram::Histogram;
use serde::Serialize;

/// The report of one experiment.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The experiment's name.
    pub experiment: String,
    /// The seed of all random streams.
    pub seed: u64,
    /// Length on the event clock; counted is the time from `count_from_s` on.
    pub seconds: f64,
    /// The time that is counted.
    pub counted_s: f64,
    /// What became of the requests.
    pub requests: Requests,
    /// What became of the attempts.
    pub attempts: Attempts,
    /// Time from a try to its served answer at the gateway, in ms.
    pub latency_ms: Spread,
    /// The gateways.
    pub gateways: GatewayFigures,
    /// The quote servers that were listed at the end.
    pub backends: BackendFigures,
    /// The shared counter.
    pub counter: CounterFigures,
    /// The list.
    pub discovery: DiscoveryFigures,
    /// Rules broken, over the whole time.
    pub rules: Broken,
    /// What became of the requests in spans of 5 s, over the whole time.
    pub windows: Vec<Window>,
}

/// What became of the requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Requests {
    /// First tries.
    pub offered: u64,
    /// All tries.
    pub tries: u64,
    /// Tries served within their aim.
    pub served: u64,
    /// Tries served later.
    pub late: u64,
    /// Tries refused.
    pub refused: u64,
    /// Tries failed.
    pub failed: u64,
    /// Tries whose client left first.
    pub left: u64,
    /// Tries that a gateway took along when it ended.
    pub ended: u64,
}

/// What became of the attempts.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Attempts {
    /// Attempts sent.
    pub sent: u64,
    /// Those of them that were not a request's first.
    pub further: u64,
    /// Served.
    pub ok: u64,
    /// Turned away.
    pub full: u64,
    /// No connection.
    pub connect_failed: u64,
    /// No answer in time.
    pub timeout: u64,
    /// Withdrawn.
    pub cancelled: u64,
    /// New connections.
    pub handshakes: u64,
    /// Sent to a quote server of another zone.
    pub cross_zone: u64,
}

/// How a figure lies over many.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// The least.
    pub least: f64,
    /// One in a hundred lies below.
    pub p1: f64,
    /// Half lie below.
    pub p50: f64,
    /// The mean.
    pub mean: f64,
    /// One in a hundred lies above.
    pub p99: f64,
    /// The most.
    pub most: f64,
}

impl Spread {
    /// Of plain figures.
    pub fn of(mut figures: Vec<f64>) -> Self {
        if figures.is_empty() {
            return Spread::default();
        }
        figures.sort_by(f64::total_cmp);
        let at = |share: f64| figures[(((figures.len() - 1) as f64) * share).round() as usize];
        let mean = figures.iter().sum::<f64>() / figures.len() as f64;
        Spread { least: at(0.0), p1: at(0.01), p50: at(0.5), mean, p99: at(0.99), most: at(1.0) }
    }

    /// Of a histogram of microseconds, in ms.
    pub(crate) fn of_micros(histogram: &Histogram<u64>) -> Self {
        if histogram.is_empty() {
            return Spread::default();
        }
        let at = |share: f64| histogram.value_at_quantile(share) as f64 / 1000.0;
        let (least, most) = (histogram.min() as f64 / 1000.0, histogram.max() as f64 / 1000.0);
        Spread { least, p1: at(0.01), p50: at(0.5), mean: histogram.mean() / 1000.0, p99: at(0.99), most }
    }
}

/// The gateways.
#[derive(Clone, Debug, Default, Serialize)]
pub struct GatewayFigures {
    /// Tries at each.
    pub tries: Spread,
    /// Quote servers that each sent to.
    pub backends_used: Spread,
    /// Connections to quote servers that each held at most at a time.
    pub connections: Spread,
    /// Customers that each remembers at the end.
    pub customers: Spread,
}

/// The quote servers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct BackendFigures {
    /// Requests that reached each.
    pub requests: Spread,
    /// Those that no request reached.
    pub without: u64,
    /// Gateways that sent to each.
    pub senders: Spread,
    /// Connections that each held at the end.
    pub connections: Spread,
}

/// The shared counter.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CounterFigures {
    /// Calls made.
    pub calls: u64,
    /// Of a hundred tries, those with a call.
    pub calls_per_try: f64,
    /// Calls without an answer in time.
    pub timeout: u64,
    /// Calls turned away.
    pub full: u64,
    /// Names that it keeps at the end.
    pub names: u64,
}

/// The list.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DiscoveryFigures {
    /// Entries that changed.
    pub changes: u64,
    /// Entries told to all gateways, whole lists at starts included.
    pub entries_told: u64,
}

/// A span of 5 s.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Window {
    /// Its begin.
    pub from_s: f64,
    /// All tries.
    pub tries: u64,
    /// Served within the aim.
    pub served: u64,
    /// Served later.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
}
