//! Model of the clients: Poisson arrivals, customers with Zipf-distributed popularity, choice of the gateway, retries,
//! and disconnects.

use crate::experiment::{Experiment, ExperimentError};
use crate::{ms_to_micros, seeded_rng, Micros};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};

/// Maximum number of requests of one client, retries included.
const MAX_REQUESTS_PER_CLIENT: u32 = 4;
/// Range of the actual units of a request, as a ratio of its estimated units.
const COST_RATIO: std::ops::Range<f64> = 0.7..1.3;
/// Range of the delay before a retry, as a ratio of its mean.
const RETRY_DELAY_RATIO: std::ops::Range<f64> = 0.5..1.5;

/// A client's request. Its retries differ in `retry` only.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub(crate) customer: u64,
    pub(crate) plan: u32,
    pub(crate) class: u32,
    /// Units that the request declares.
    pub(crate) estimated_units: f64,
    /// Units that the executed request costs.
    pub(crate) actual_units: f64,
    /// Number of the retry; 0 for the client's first request.
    pub(crate) retry: u32,
}

/// Properties that are constant for a customer. Each is derived from a separate hash.
#[derive(Clone, Copy)]
enum CustomerProperty {
    Plan = 1,
    FirstGateway = 2,
}

/// The clients of all gateways.
pub(crate) struct Clients {
    rng: ChaCha8Rng,
    arrival_gap_ms: Exp<f64>,
    customers: u64,
    /// Distribution of requests over customers; `None` if it is uniform.
    customer_popularity: Option<Zipf<f64>>,
    /// Cumulative shares of the classes; the last is 1.
    cumulative_classes: Vec<f64>,
    /// Cumulative shares of the plans; the last is 1.
    cumulative_plans: Vec<f64>,
    /// Cumulative shares of the customers by the first gateway of their sets; the last is 1.
    cumulative_gateways: Vec<f64>,
    gateway_set_size: u32,
    retry_share: f64,
    retry_delay_ms: f64,
    disconnect_share: f64,
}

impl Clients {
    pub(crate) fn new(experiment: &Experiment, seed: u64) -> Result<Self, ExperimentError> {
        let load = &experiment.load;
        let arrival_gap_ms = Exp::new(load.requests_per_s / 1000.0).map_err(|error| {
            ExperimentError::Distribution {
                field: "load.requests_per_s",
                message: error.to_string(),
            }
        })?;
        Ok(Clients {
            rng: seeded_rng(seed, "clients", 0),
            arrival_gap_ms,
            customers: load.customers,
            customer_popularity: customer_popularity(experiment)?,
            cumulative_classes: cumulative_shares(
                experiment.classes.iter().map(|class| class.share),
            ),
            cumulative_plans: cumulative_shares(experiment.plans.iter().map(|plan| plan.share)),
            cumulative_gateways: cumulative_shares(gateway_weights(experiment).into_iter()),
            gateway_set_size: load.gateway_set_size,
            retry_share: load.retry_share,
            retry_delay_ms: load.retry_delay_ms,
            disconnect_share: load.disconnect_share,
        })
    }

    /// Draws the time until the next client's first request.
    pub(crate) fn draw_arrival_gap(&mut self) -> Micros {
        ms_to_micros(self.arrival_gap_ms.sample(&mut self.rng))
    }

    /// Draws the next client's first request.
    pub(crate) fn draw_request(&mut self) -> ClientRequest {
        let customer = match &self.customer_popularity {
            Some(popularity) => popularity.sample(&mut self.rng) as u64 - 1,
            None => self.rng.random_range(0..self.customers),
        };
        let estimated_units = f64::from(self.rng.random_range(1..=2_i32));
        let class = index_of(&self.cumulative_classes, self.rng.random());
        let cost_ratio = self.rng.random_range(COST_RATIO);
        let plan = index_of(
            &self.cumulative_plans,
            customer_hash(customer, CustomerProperty::Plan),
        );
        ClientRequest {
            customer,
            plan: plan as u32,
            class: class as u32,
            estimated_units,
            actual_units: estimated_units * cost_ratio,
            retry: 0,
        }
    }

    /// Picks a gateway as the load balancer in front of the fleet does: one of the customer's set, or any other if none
    /// of the set accepts requests. `None` if no gateway accepts requests.
    pub(crate) fn pick_gateway(
        &mut self,
        customer: u64,
        accepts: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let gateways = self.cumulative_gateways.len();
        let set_size = self.gateway_set_size as usize;
        let first = index_of(
            &self.cumulative_gateways,
            customer_hash(customer, CustomerProperty::FirstGateway),
        );
        let start_in_set = self.rng.random_range(0..self.gateway_set_size) as usize;
        let start_outside = self.rng.random_range(0..gateways);
        let set = (0..set_size).map(|step| (first + (start_in_set + step) % set_size) % gateways);
        let all = (0..gateways).map(|step| (start_outside + step) % gateways);
        set.chain(all).find(|index| accepts(*index))
    }

    /// Draws whether the client retries a request that was not served, and the delay until the retry. `retry_after_ms`
    /// is the delay that the gateway advised; 0 if it advised none.
    pub(crate) fn draw_retry(
        &mut self,
        request: &ClientRequest,
        retry_after_ms: f64,
    ) -> Option<(ClientRequest, Micros)> {
        if request.retry + 1 >= MAX_REQUESTS_PER_CLIENT
            || self.rng.random::<f64>() >= self.retry_share
        {
            return None;
        }
        let own_delay_ms = self.retry_delay_ms * self.rng.random_range(RETRY_DELAY_RATIO);
        let retry = ClientRequest {
            retry: request.retry + 1,
            ..request.clone()
        };
        Some((retry, ms_to_micros(retry_after_ms.max(own_delay_ms))))
    }

    /// Draws the delay after which a client disconnects; `None` if the client waits for the response up to the
    /// deadline.
    pub(crate) fn draw_disconnect_delay(&mut self, deadline: Micros) -> Option<Micros> {
        if self.rng.random::<f64>() >= self.disconnect_share {
            return None;
        }
        Some(self.rng.random_range(0..=deadline))
    }
}

fn customer_popularity(experiment: &Experiment) -> Result<Option<Zipf<f64>>, ExperimentError> {
    let load = &experiment.load;
    if load.zipf_exponent <= 0.0 {
        return Ok(None);
    }
    let popularity = Zipf::new(load.customers as f64, load.zipf_exponent);
    popularity
        .map(Some)
        .map_err(|error| ExperimentError::Distribution {
            field: "load.zipf_exponent",
            message: error.to_string(),
        })
}

/// Weights of the gateways in the choice of the first gateway of a customer's set. Hot gateways are spread evenly over
/// the fleet.
fn gateway_weights(experiment: &Experiment) -> Vec<f64> {
    let gateways = &experiment.gateways;
    let count = u64::from(gateways.count);
    let hot = (f64::from(gateways.count) * gateways.hot_share).round() as u64;
    let is_hot = |index: u64| hot > 0 && index * hot % count < hot;
    (0..count)
        .map(|index| {
            if is_hot(index) {
                gateways.hot_multiplier
            } else {
                1.0
            }
        })
        .collect()
}

/// Running sums of the shares, divided by their total.
fn cumulative_shares(shares: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let mut sums = Vec::new();
    for share in shares {
        sum += share;
        sums.push(sum);
    }
    let total = sums.last().copied().unwrap_or(1.0);
    for sum in &mut sums {
        *sum /= total;
    }
    sums
}

/// Index of the entry whose interval of the cumulative shares contains `position`, a number from 0 to 1.
fn index_of(cumulative: &[f64], position: f64) -> usize {
    cumulative
        .partition_point(|sum| *sum <= position)
        .min(cumulative.len() - 1)
}

/// Hash of the customer and the property as a number from 0 to 1. The hash is the same in every experiment.
fn customer_hash(customer: u64, property: CustomerProperty) -> f64 {
    // Mixes the bits with the constants of SplitMix64.
    let key = customer ^ (property as u64) << 40;
    let mixed = key
        .wrapping_add(0x9E37_79B9_7F4A_7C15)
        .wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ mixed >> 29).wrapping_mul(0x94D0_49BB_1331_11EB);
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}
