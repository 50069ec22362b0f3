//! What is harmless in one gateway and harmful in all: many instances of the module, their sends summed against
//! the rule.

mod common;
use cherrytally::*;
use common::*;

const GATEWAYS: u32 = 300;

fn instance(settings: &Settings, number: u32, now: f64) -> Rig {
    let settings = Settings { position: number, ..settings.clone() };
    Rig { gateway: Gateway::new(settings, u64::from(number) * 7919 + 1, now), now }
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

/// A third of the fleet starts cold at once, told to all gateways a second later. The sum of all sends to one cold
/// backend stays under N + 3 x root of N + 3 in the time that the rules name, also where some gateways see several
/// times the mean and where the warm backends are half gone.
#[test]
fn three_hundred_gateways_push_no_cold_backend_over() {
    for (multiple, fall_ms) in [(4.0, 1500.0), (2.0, 2000.0)] {
        let mut s = settings();
        (s.counter, s.plans[0].rate, s.gateways) = (None, 0.0, GATEWAYS);
        (s.rules.fall_multiple, s.rules.fall_ms) = (multiple, fall_ms);
        (s.rules.cold_from, s.rules.warm_up_ms) = (0.16, 15_000.0);
        let start = 1000.0;
        let mut rigs: Vec<_> = (0..GATEWAYS).map(|number| instance(&s, number, start)).collect();
        let warm: Vec<_> = (1..=60).map(|id| listed(id, 0, State::Ready)).collect();
        for rig in &mut rigs {
            rig.event(Event::List { full: true, entries: warm.clone() });
        }
        // Each backend bears 20 a second when warm, and the fleet of 60 is asked half of it.
        let (bears, mean) = (20.0, 60.0 * 20.0 / 2.0 / f64::from(GATEWAYS));
        let born = start + 10_000.0;
        let mut sends = vec![Vec::new(); 31];
        let mut id = 0;
        let mut rng = fastrand::Rng::with_seed(5);
        let mut told = false;
        for step in 0..25_000 {
            let now = start + f64::from(step);
            if now >= born + 1000.0 && !std::mem::replace(&mut told, true) {
                for rig in &mut rigs {
                    rig.now = now;
                    let gone = (1..=30).map(|id| listed(id, 0, State::Gone));
                    let cold = (61..=90).map(|id| Listed { started: born, ..listed(id, 0, State::Ready) });
                    rig.event(Event::List { full: false, entries: gone.chain(cold).collect() });
                }
            }
            for (number, rig) in rigs.iter_mut().enumerate() {
                // One in ten sees four times what the others see.
                let share = if number % 10 == 0 { 4.0 } else { 1.0 } / 1.3;
                if rng.f64() >= mean * share / 1000.0 {
                    continue;
                }
                (id, rig.now) = (id + 1, now);
                if let Some(backend) = sent(&rig.event(Event::Request(request(id, id)))) {
                    if backend > 60 {
                        sends[backend as usize - 60].push(now);
                    }
                    rig.outcome(id, 0, backend, Result::Ok, None);
                }
            }
        }
        assert!(sends.iter().map(Vec::len).sum::<usize>() > 500, "cold backends are used");
        for sends in &sends[1..] {
            let (sent, allowed) = worst(sends, fall_ms, |at| {
                let share = 0.16 + 0.84 * ((at - born) / 15_000.0).clamp(0.0, 1.0);
                let n = multiple * share * bears * fall_ms / 1000.0;
                n + 3.0 * n.sqrt() + 3.0
            });
            assert!(sent as f64 <= allowed, "{sent} sent where {allowed} are allowed");
        }
    }
}

/// A quiet day: most customers ask well below their rate, one in ten for three times as much. The counter is well.
/// What all gateways together let through beyond the quotas, and what they refuse inside them, stays small.
#[test]
fn quotas_hold_over_the_fleet_on_a_quiet_day() {
    let mut s = settings();
    (s.gateways, s.plans[0].rate, s.plans[0].burst) = (40, 4.0, 12.0);
    let start = 100_000.0;
    let mut rigs: Vec<_> = (0..s.gateways).map(|number| instance(&s, number, start)).collect();
    let backends: Vec<_> = (1..=40).map(|id| listed(id, 0, State::Ready)).collect();
    for rig in &mut rigs {
        rig.event(Event::List { full: true, entries: backends.clone() });
    }
    let customers = 60;
    // The truth: each customer's store, as the quota has it.
    let mut stores = vec![(12.0f64, start); customers];
    let (mut shared, mut rng) = (Shared::default(), fastrand::Rng::with_seed(11));
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
            let asked = Request { spread: 4.0, ..request(number, customer as u64) };
            let actions = rig.event(Event::Request(asked));
            let actions = shared.answer(rig, actions);
            *store = (*store + (now - *at) / 1000.0 * 4.0).min(12.0);
            *at = now;
            let fits = *store >= 1.0;
            match sent(&actions) {
                Some(backend) => {
                    if fits {
                        *store -= 1.0;
                        inside += 1;
                        heavy_inside += u32::from(heavy);
                    } else {
                        beyond += 1;
                    }
                    rig.outcome(number, 0, backend, Result::Ok, Some(1.0));
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
