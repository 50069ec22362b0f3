//! What is harmless in one gateway and harmful in all: many instances of the module, their sends summed against
//! the rule.

mod common;
use common::*;
use quota_gateway::*;
use std::collections::BTreeMap;

fn instance(settings: &Settings, number: u32, now: f64) -> TestGateway {
    let settings = Settings { gateway_index: number, ..settings.clone() };
    TestGateway { gateway: Gateway::new(settings, u64::from(number) * 7919 + 1, now), now }
}

/// Most sends in any span of this length, beside what is allowed then.
fn worst(sends: &[f64], span: f64, allowed: impl Fn(f64) -> f64) -> (usize, f64) {
    let mut first = 0;
    let mut worst = (0, f64::INFINITY);
    for (last, at) in sends.iter().enumerate() {
        while sends[first] < at - span {
            first += 1;
        }
        let (sent, allowed) = (last + 1 - first, allowed(sends[first]));
        if sent as f64 / allowed > worst.0 as f64 / worst.1 {
            worst = (sent, allowed);
        }
    }
    worst
}

/// Each backend bears so many a second when warm, and has a line of so many ms before it turns away.
const BEARS: f64 = 20.0;
const LINE_MS: f64 = 800.0;
const COLD_FROM: f64 = 0.16;
const WARM_UP_MS: f64 = 15_000.0;

/// A release: half of the warm backends go and as many start cold, told to all gateways a second later.
struct Release {
    gateways: u32,
    seed: u64,
    /// Requests a second over all gateways; one gateway in ten sees four times what the others see.
    rate: f64,
    overload_multiple: f64,
    overload_window_ms: f64,
    /// Backends that stay; as many go, and as many come cold in their place.
    stay: u32,
}

impl Release {
    /// The worst that any cold backend gets in the time that the rules name: sends of all gateways beside
    /// N + 2 x root of N + 2, N being what it bears then; and all sends to cold ones. One gateway restarts during the
    /// ramp, one attempt in twenty ends as an error, and clients come again.
    fn play(&self) -> (usize, f64, usize) {
        let mut s = settings();
        (s.counter, s.plans[0].rate, s.gateway_count) = (None, 0.0, self.gateways);
        (s.rules.overload_multiple, s.rules.overload_window_ms) =
            (self.overload_multiple, self.overload_window_ms);
        (s.rules.slow_start_min_capacity, s.rules.slow_start_ms) = (COLD_FROM, WARM_UP_MS);
        let (start, born) = (1000.0, 9000.0);
        let share = |at: f64| COLD_FROM + (1.0 - COLD_FROM) * ((at - born) / WARM_UP_MS).clamp(0.0, 1.0);
        let warm: Vec<_> =
            (1..=2 * self.stay).map(|id| endpoint_entry(id, 0, EndpointState::Ready)).collect();
        let gone = (self.stay + 1..=2 * self.stay).map(|id| endpoint_entry(id, 0, EndpointState::Removed));
        let cold = (2 * self.stay + 1..=3 * self.stay)
            .map(|id| Endpoint { started_at: born, ..endpoint_entry(id, 0, EndpointState::Ready) });
        let change: Vec<_> = gone.chain(cold.clone()).collect();
        let after: Vec<_> = warm[..self.stay as usize].iter().cloned().chain(cold).collect();
        let mut rigs: Vec<_> = (0..self.gateways).map(|number| instance(&s, number, start)).collect();
        for rig in &mut rigs {
            rig.handle(Event::EndpointUpdate { complete: true, endpoints: warm.clone() });
        }
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let mut free_at = vec![start; (3 * self.stay + 1) as usize];
        let mut sends = vec![Vec::new(); self.stay as usize + 1];
        let mut events = BTreeMap::from([((0, 0), Step::Arrival)]);
        let (mut next, mut asked, mut told, mut restarted) = (0, 0, false, false);
        let mut attempts = BTreeMap::new();
        let at = |ms: f64| (ms * 1000.0) as u64;
        while let Some(((micros, _), step)) = events.pop_first() {
            let now = start + micros as f64 / 1000.0;
            if now > born + 12_000.0 {
                break;
            }
            if now >= born + 1000.0 && !std::mem::replace(&mut told, true) {
                for rig in &mut rigs {
                    rig.now = now;
                    rig.handle(Event::EndpointUpdate { complete: false, endpoints: change.clone() });
                }
            }
            if now >= born + 4000.0 && !std::mem::replace(&mut restarted, true) {
                rigs[0] = instance(&s, 0, now);
                rigs[0].handle(Event::EndpointUpdate { complete: true, endpoints: after.clone() });
            }
            let mut later = |ms: f64, step: Step| {
                next += 1;
                events.insert((at(now + ms - start), next), step);
            };
            let (number, actions) = match step {
                Step::Arrival => {
                    let gap = -(1.0 - rng.f64()).ln() * 1000.0 / self.rate;
                    later(gap, Step::Arrival);
                    let busy = self.gateways.div_ceil(10);
                    let place = rng.f64() * f64::from(self.gateways + 3 * busy);
                    let number = match place < 4.0 * f64::from(busy) {
                        true => place as u32 / 4 * 10,
                        false => rng.u32(..self.gateways),
                    };
                    let number = number as usize;
                    rigs[number].now = now;
                    asked += 1;
                    (number, rigs[number].handle(Event::Request(request(asked, asked))))
                }
                Step::Again { id } => {
                    let number = rng.usize(..rigs.len());
                    rigs[number].now = now;
                    (
                        number,
                        rigs[number].handle(Event::Request(Request { is_retry: true, ..request(id, id) })),
                    )
                }
                Step::Outcome { number, outcome } => {
                    rigs[number].now = now;
                    (number, rigs[number].handle(Event::AttemptEnded(outcome)))
                }
            };
            for action in actions {
                match action {
                    Action::SendAttempt { id, endpoint: backend, .. } => {
                        let cold = backend > 2 * self.stay;
                        if cold {
                            sends[(backend - 2 * self.stay) as usize].push(now);
                        }
                        let bears = BEARS * if cold { share(now) } else { 1.0 };
                        let free = &mut free_at[backend as usize];
                        let waits = (*free - now).max(0.0);
                        let (result, elapsed_ms) = if waits > LINE_MS {
                            (Outcome::Rejected, 1.0)
                        } else {
                            *free = now + waits + 1000.0 / bears;
                            let spoilt = rng.f64() < 0.05;
                            (
                                if spoilt { Outcome::ErrorResponse } else { Outcome::Success },
                                waits + 1000.0 / bears,
                            )
                        };
                        let attempt = attempts.entry(id).or_insert(0u8);
                        let (ended, load) = (result == Outcome::Success, LoadReport::default());
                        let outcome = AttemptEnd {
                            id,
                            attempt: *attempt,
                            endpoint: backend,
                            outcome: result,
                            request_answered: ended,
                            actual_units: None,
                            elapsed_ms,
                            load,
                        };
                        *attempt += 1;
                        later(elapsed_ms, Step::Outcome { number, outcome });
                    }
                    Action::Reject { id, .. } if id < 1 << 40 => {
                        later(400.0, Step::Again { id: id | 1 << 40 })
                    }
                    _ => {}
                }
            }
        }
        let mut worst_of_all = (0, 1.0);
        for sends in &sends[1..] {
            let (sent, allowed) = worst(sends, self.overload_window_ms, |at| {
                let n = self.overload_multiple * share(at) * BEARS * self.overload_window_ms / 1000.0;
                n + 2.0 * n.sqrt() + 2.0
            });
            if sent as f64 / allowed > worst_of_all.0 as f64 / worst_of_all.1 {
                worst_of_all = (sent, allowed);
            }
        }
        (worst_of_all.0, worst_of_all.1, sends.iter().map(Vec::len).sum())
    }
}

enum Step {
    Arrival,
    Again { id: u64 },
    Outcome { number: usize, outcome: AttemptEnd },
}

/// Quiet and crowded: half of what the warm backends bear before the release, and nearly all of it.
fn no_cold_backend_is_pushed_over_by(gateways: u32, stay: u32) {
    for busy in [0.5, 0.92] {
        for (seed, (overload_multiple, overload_window_ms)) in
            [(4.0, 1500.0), (2.0, 2000.0)].into_iter().enumerate()
        {
            let rate = busy * BEARS * f64::from(2 * stay);
            let release = Release {
                gateways,
                seed: seed as u64 + 5,
                rate,
                overload_multiple,
                overload_window_ms,
                stay,
            };
            let (sent, allowed, all) = release.play();
            assert!(sent as f64 <= allowed, "{rate} a second: {sent} sent where {allowed} are allowed");
            assert!(all > 500, "cold backends are used: {all}");
        }
    }
}

/// With more backends than a gateway looks at: each has some gateways that may send to it. Shorter by one multiple
/// than the others, as it takes its time.
#[test]
fn gateways_that_keep_to_a_subset_push_no_cold_backend_over() {
    let play = |busy: f64, gateways| {
        let rate = busy * BEARS * 260.0;
        let release = Release {
            gateways,
            seed: 9,
            rate,
            overload_multiple: 2.0,
            overload_window_ms: 2000.0,
            stay: 130,
        };
        let (sent, allowed, all) = release.play();
        assert!(sent as f64 <= allowed, "{rate} a second: {sent} sent where {allowed} are allowed");
        assert!(all > 500, "cold backends are used: {all}");
    };
    std::thread::scope(|scope| {
        scope.spawn(|| play(0.5, 40));
        scope.spawn(|| play(0.92, 40));
        scope.spawn(|| play(0.92, 120));
    });
}

#[test]
fn three_gateways_push_no_cold_backend_over() {
    no_cold_backend_is_pushed_over_by(3, 30);
}

#[test]
fn twenty_gateways_push_no_cold_backend_over() {
    no_cold_backend_is_pushed_over_by(20, 30);
}

#[test]
fn thirty_gateways_push_no_cold_backend_over() {
    no_cold_backend_is_pushed_over_by(30, 30);
}

#[test]
fn three_hundred_gateways_push_no_cold_backend_over() {
    no_cold_backend_is_pushed_over_by(300, 30);
}

#[test]
fn seven_hundred_gateways_push_no_cold_backend_over() {
    no_cold_backend_is_pushed_over_by(720, 30);
}

/// A quiet day: most customers ask well below their rate, one in ten for three times as much. The counter is well.
/// What all gateways together let through beyond the quotas, and what they refuse inside them, stays small.
#[test]
fn quotas_hold_over_the_fleet_on_a_quiet_day() {
    let mut s = settings();
    (s.gateway_count, s.plans[0].rate, s.plans[0].burst) = (40, 4.0, 12.0);
    let start = 100_000.0;
    let mut rigs: Vec<_> = (0..s.gateway_count).map(|number| instance(&s, number, start)).collect();
    let backends: Vec<_> = (1..=40).map(|id| endpoint_entry(id, 0, EndpointState::Ready)).collect();
    for rig in &mut rigs {
        rig.handle(Event::EndpointUpdate { complete: true, endpoints: backends.clone() });
    }
    let customers = 60;
    // The truth: each customer's store, as the quota has it.
    let mut stores = vec![(12.0f64, start); customers];
    let (mut shared, mut rng) = (SharedCounter::default(), fastrand::Rng::with_seed(11));
    let (mut inside, mut beyond, mut heavy_inside, mut refused) = (0u32, 0u32, 0u32, 0u32);
    for id in 0..60_000u64 {
        let now = start + id as f64;
        for (customer, (store, at)) in stores.iter_mut().enumerate() {
            let heavy = customer % 10 == 0;
            let rate = if heavy { 12.0 } else { 1.5 };
            if rng.f64() >= rate / 1000.0 {
                continue;
            }
            // It comes in through four gateways in a row.
            let rig = &mut rigs[(customer * 3 + rng.usize(..4)) % 40];
            rig.now = now;
            let number = id * customers as u64 + customer as u64;
            let asked = Request { gateway_set_size: 4.0, ..request(number, customer as u64) };
            let actions = rig.handle(Event::Request(asked));
            let actions = shared.answer_calls(rig, actions);
            *store = (*store + (now - *at) / 1000.0 * 4.0).min(12.0);
            *at = now;
            let fits = *store >= 1.0;
            match sent_to(&actions) {
                Some(backend) => {
                    if fits {
                        *store -= 1.0;
                        inside += 1;
                        heavy_inside += u32::from(heavy);
                    } else {
                        beyond += 1;
                    }
                    rig.attempt_ended(number, 0, backend, Outcome::Success, Some(1.0));
                }
                None => refused += u32::from(fits && !heavy),
            }
        }
    }
    let light_inside = inside - heavy_inside;
    assert!(beyond * 20 <= inside, "{beyond} beyond the quotas, {inside} inside");
    assert!(refused * 25 <= light_inside, "{refused} refused to those who ask little, {light_inside} inside");
    // Six customers, a burst of 12 and 4 a second for a minute.
    assert!(heavy_inside * 10 >= 6 * (12 + 4 * 60) * 8, "{heavy_inside} to those who ask more than they may");
}
