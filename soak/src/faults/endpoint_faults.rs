//! Faults of endpoints, which misbehave for a time or are replaced.

use super::injector::Injector;
use crate::endpoint::{misbehave, replace};
use rand::seq::IndexedRandom;
use stand_ins::endpoint::Behaviour;
use std::time::Duration;
use tokio::task::JoinSet;

/// Endpoints are replaced only while more than this many are running.
const MIN_RUNNING: usize = 6;
/// The ways in which endpoints misbehave.
const FAULTY_BEHAVIOURS: [Behaviour; 7] = [
    Behaviour::Hangs,
    Behaviour::Resets,
    Behaviour::Rejects,
    Behaviour::SendsInvalidHttp,
    Behaviour::OmitsLength,
    Behaviour::AnswersTwice,
    Behaviour::ClosesUnannounced,
];

impl Injector {
    /// Lets some endpoints misbehave for `duration`, all in the same way.
    pub async fn misbehave(mut self, duration: Duration) {
        let numbers = self.draw_endpoints();
        let behaviour = self.draw_behaviour();
        misbehave(&self.context.endpoints, &numbers, behaviour, duration).await;
    }

    fn draw_behaviour(&mut self) -> Behaviour {
        FAULTY_BEHAVIOURS
            .choose(&mut self.rng)
            .copied()
            .unwrap_or(Behaviour::Hangs)
    }

    /// Replaces some endpoints by new ones. The old endpoints drain first if `drains` is true, or end without notice
    /// otherwise.
    pub async fn replace_endpoints(mut self, drains: bool) {
        let mut replacements = JoinSet::new();
        for number in self.draw_endpoints() {
            let running = &self.context.processes.endpoints;
            if running.borrow().len() <= MIN_RUNNING {
                break;
            }
            let Some(endpoint) = running.borrow_mut().remove(&number) else {
                continue;
            };
            let context = self.context.clone();
            replacements.spawn_local(async move {
                let new = replace(&context.endpoints, number, endpoint, drains).await;
                let mut endpoints = context.processes.endpoints.borrow_mut();
                endpoints.extend(new);
            });
        }
        while replacements.join_next().await.is_some() {}
    }
}
