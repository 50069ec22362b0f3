//! Injects faults at random times until the load ends. Usually two or three faults overlap.

use super::injector::{FaultContext, Injector};
use crate::error::SoakError;
use rand::seq::IndexedRandom;
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Pause between the starts of two faults.
const PAUSE_MS: std::ops::Range<u64> = 150..900;
/// Duration of a fault whose kind doesn't determine the duration.
const DURATION_MS: std::ops::Range<u64> = 300..3000;

/// A kind of fault. The name of the variant is part of the report.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Restarts,
    Kills,
    Stalls,
    Reloads,
    InvalidReloads,
    DiscoveryFails,
    CounterFails,
    EndpointsMisbehave,
    EndpointsDrain,
    EndpointsVanish,
}

/// The faults that are drawn with equal probability. Restarts are listed three times to be drawn more often.
const FAULTS: [Fault; 12] = [
    Fault::Restarts,
    Fault::Restarts,
    Fault::Restarts,
    Fault::Kills,
    Fault::Stalls,
    Fault::Reloads,
    Fault::InvalidReloads,
    Fault::DiscoveryFails,
    Fault::CounterFails,
    Fault::EndpointsMisbehave,
    Fault::EndpointsDrain,
    Fault::EndpointsVanish,
];

/// Injects faults until the load ends, and waits until all faults have ended.
pub async fn run(context: Rc<FaultContext>) {
    let mut rng = crate::seeded_rng(context.settings.seed, "faults", 0);
    let mut running = JoinSet::new();
    while !context.settings.has_load_ended() {
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        let Some(fault) = FAULTS.choose(&mut rng).copied() else {
            return;
        };
        context.observations.increment(&format!("fault {fault:?}"));
        let injector = Injector {
            context: context.clone(),
            rng: crate::seeded_rng(rng.random(), "", 0),
        };
        running.spawn_local(inject(injector, fault));
        while let Some(ended) = running.try_join_next() {
            context.report_failure(ended);
        }
    }
    while let Some(ended) = running.join_next().await {
        context.report_failure(ended);
    }
}

async fn inject(mut injector: Injector, fault: Fault) -> Result<(), SoakError> {
    let duration = Duration::from_millis(injector.rng.random_range(DURATION_MS));
    match fault {
        Fault::Restarts => injector.restart(false).await,
        Fault::Kills => injector.restart(true).await,
        Fault::Stalls => injector.stall().await,
        Fault::Reloads => injector.reload().await?,
        Fault::InvalidReloads => injector.reload_invalid()?,
        Fault::DiscoveryFails => injector.fail_discovery(duration).await,
        Fault::CounterFails => injector.fail_counter(duration).await,
        Fault::EndpointsMisbehave => injector.misbehave(duration).await,
        Fault::EndpointsDrain => injector.replace_endpoints(true).await,
        Fault::EndpointsVanish => injector.replace_endpoints(false).await,
    }
    Ok(())
}
