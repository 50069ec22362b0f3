//! What all decisions on one event share.

use crate::api::{Action, Class, Millis, Plan, Request, Settings};
use crate::state::{Account, Timer};
use fastrand::Rng;

/// The time of an event, the settings, the random numbers, and the actions that the event leads to so far.
pub(crate) struct Context<'a> {
    pub(crate) now: Millis,
    pub(crate) settings: &'a Settings,
    pub(crate) rng: &'a mut Rng,
    pub(crate) actions: &'a mut Vec<Action>,
}

impl<'a> Context<'a> {
    /// The class of a request. Its index was checked on arrival.
    pub(crate) fn class(&self, request: &Request) -> &'a Class {
        &self.settings.classes[request.class as usize]
    }

    /// The plan of an account. Its index was checked on arrival.
    pub(crate) fn plan(&self, account: Account) -> &'a Plan {
        &self.settings.plans[account.plan]
    }

    /// Has [`Timer`] fire after this time.
    pub(crate) fn set_timer(&mut self, timer: Timer, after_ms: Millis) {
        self.actions.push(Action::SetTimer {
            token: timer.token(),
            after_ms,
        });
    }
}
