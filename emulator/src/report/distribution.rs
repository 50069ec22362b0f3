//! Summary of the distribution of a value over gateways, endpoints or requests.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Summary of a distribution: extremes, mean and percentiles.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Distribution {
    /// The smallest value.
    pub min: f64,
    /// The first percentile.
    pub p1: f64,
    /// The median.
    pub p50: f64,
    /// The mean.
    pub mean: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The largest value.
    pub max: f64,
}

impl Distribution {
    /// Summarises values; all fields are 0 if there are none.
    #[must_use]
    pub fn of(mut values: Vec<f64>) -> Self {
        if values.is_empty() {
            return Distribution::default();
        }
        values.sort_by(f64::total_cmp);
        let quantile = |share: f64| values[(((values.len() - 1) as f64) * share).round() as usize];
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        Distribution {
            min: quantile(0.0),
            p1: quantile(0.01),
            p50: quantile(0.5),
            mean,
            p99: quantile(0.99),
            max: quantile(1.0),
        }
    }

    /// Summarises a histogram of microseconds; the result is in ms.
    pub(crate) fn of_micros(histogram: &Histogram<u64>) -> Self {
        if histogram.is_empty() {
            return Distribution::default();
        }
        let quantile_ms = |share: f64| histogram.value_at_quantile(share) as f64 / 1000.0;
        Distribution {
            min: histogram.min() as f64 / 1000.0,
            p1: quantile_ms(0.01),
            p50: quantile_ms(0.5),
            mean: histogram.mean() / 1000.0,
            p99: quantile_ms(0.99),
            max: histogram.max() as f64 / 1000.0,
        }
    }
}
