//! The context that all decisions on one event share.

use crate::api::{Action, Class, Millis, Plan, Request, Settings};
use crate::state::{Account, Timer};
use fastrand::Rng;

/// The time of an event, the settings, the random number generator, and the actions that result from the event.
pub(crate) struct Context<'a> {
    pub(crate) now: Millis,
    pub(crate) settings: &'a Settings,
    pub(crate) rng: &'a mut Rng,
    pub(crate) actions: &'a mut Vec<Action>,
}

impl<'a> Context<'a> {
    /// The class of a request. The index was validated when the request arrived.
    pub(crate) fn class(&self, request: &Request) -> &'a Class {
        &self.settings.classes[request.class as usize]
    }

    /// The plan of an account. The index was validated when the request arrived.
    pub(crate) fn plan(&self, account: Account) -> &'a Plan {
        &self.settings.plans[account.plan]
    }

    /// Starts a timer that fires after `after_ms`.
    pub(crate) fn set_timer(&mut self, timer: Timer, after_ms: Millis) {
        self.actions.push(Action::SetTimer {
            token: timer.token(),
            after_ms,
        });
    }
}
