use super::super::policy::{self, PROPAGATION_LIMIT};
use super::*;
use std::cell::RefCell;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The way in which calls fail while discovery is unavailable.
#[derive(Clone, Copy, Debug)]
enum Outage {
    RefusesConnections,
    Hangs,
    Rejects,
}

/// The recovery of a fleet after an outage. All times are relative to the end of the outage.
struct Recovery {
    /// The time at which each gateway had opened its watch.
    watches_opened_at: Vec<Duration>,
    /// The arrival time of each call that was made after the end of the outage.
    calls: Vec<Duration>,
}

/// Simulates gateways whose discovery is unavailable for `outage_ms` and then responds to each call after one second.
/// Uses the paused clock.
async fn simulate_recovery(gateway_count: u32, outage: Outage, outage_ms: u64) -> Recovery {
    let outage_end = Instant::now() + Duration::from_millis(outage_ms);
    let calls = Rc::new(RefCell::new(Vec::new()));
    let mut gateways = JoinSet::new();
    for seed in 0..gateway_count {
        let calls = calls.clone();
        let mut policy = policy::tests::policy(gateway_count, true, seed.into());
        gateways.spawn_local(async move {
            let call = |timeouts: CallTimeouts| {
                let calls = calls.clone();
                async move {
                    let is_down = Instant::now() < outage_end;
                    match outage {
                        _ if !is_down => {
                            calls.borrow_mut().push(Instant::now() - outage_end);
                            sleep(Duration::from_secs(1)).await;
                            return Ok(());
                        }
                        Outage::RefusesConnections => {}
                        // A call that arrives while discovery hangs is never answered.
                        Outage::Hangs => sleep(timeouts.response).await,
                        Outage::Rejects => sleep(Duration::from_secs(1)).await,
                    }
                    Err(io::Error::from(ErrorKind::ConnectionRefused).into())
                }
            };
            open_watch(&mut policy, call, |_| {}).await;
            Instant::now().saturating_duration_since(outage_end)
        });
    }
    let watches_opened_at = gateways.join_all().await;
    let calls = calls.borrow().clone();
    Recovery {
        watches_opened_at,
        calls,
    }
}

/// Guards the recovery after an outage of a shared discovery service. If all gateways called at once, the service would
/// be overloaded again; if they waited too long, they would miss changes. Whichever way the calls failed during the
/// outage, each gateway opens its watch within 6 s of its end, and the calls are spread out.
#[tokio::test(start_paused = true)]
async fn all_gateways_reopen_their_watches_in_time_after_an_outage_of_a_shared_service() {
    let set = tokio::task::LocalSet::new();
    set.run_until(async {
        for outage in [Outage::RefusesConnections, Outage::Hangs, Outage::Rejects] {
            for (gateway_count, outage_ms) in [
                (3, 8000),
                (30, 8000),
                (300, 3900),
                (300, 8000),
                (720, 31_000),
            ] {
                let recovery = simulate_recovery(gateway_count, outage, outage_ms).await;
                let latest = recovery.watches_opened_at.iter().max().unwrap();
                assert!(
                    *latest <= PROPAGATION_LIMIT,
                    "{gateway_count}, {outage:?} {outage_ms}: {latest:?}"
                );
                let mut per_second = [0.0; 8];
                recovery
                    .calls
                    .iter()
                    .for_each(|at| per_second[at.as_secs() as usize] += 1.0);
                let even_rate =
                    f64::from(gateway_count) / (f64::from(gateway_count) / 10.0).min(4.0);
                let max_rate = 4.0 / 3.0 * even_rate + 4.0 * even_rate.sqrt();
                assert!(
                    per_second.iter().all(|n| *n <= max_rate),
                    "{gateway_count}, {outage:?} {outage_ms}: {per_second:?}"
                );
            }
        }
    })
    .await;
}
