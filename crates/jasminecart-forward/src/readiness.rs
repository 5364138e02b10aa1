//! The readiness of the VM to get packets from the platform's routers.

use std::cell::Cell;

use jasminecart_core::time::Millis;

use crate::explain::NotReady;

/// The state that determines the response to the platform's readiness probe.
///
/// A VM is ready if it has routes and targets, the store or a peer confirmed them within `fresh_within`, and
/// it is not stopping.
#[derive(Debug)]
pub(crate) struct Readiness {
    fresh_within: Cell<Millis>,
    loaded: Cell<bool>,
    stopping: Cell<bool>,
    confirmed_at: Cell<Millis>,
}

impl Readiness {
    pub(crate) fn new(fresh_within: Millis) -> Readiness {
        Readiness {
            fresh_within: Cell::new(fresh_within),
            loaded: Cell::new(false),
            stopping: Cell::new(false),
            confirmed_at: Cell::new(Millis::ZERO),
        }
    }

    pub(crate) fn set_fresh_within(&self, duration: Millis) {
        self.fresh_within.set(duration);
    }

    pub(crate) fn set_loaded(&self, loaded: bool) {
        self.loaded.set(loaded);
    }

    pub(crate) fn set_stopping(&self) {
        self.stopping.set(true);
    }

    /// Records that the store confirmed this VM's view at `at`.
    pub(crate) fn set_confirmed(&self, at: Millis) {
        self.confirmed_at.set(at);
    }

    /// Returns the time since the store or a peer confirmed this VM's view.
    pub(crate) fn age(&self, now: Millis) -> Millis {
        now.since(self.confirmed_at.get())
    }

    pub(crate) fn is_ready(&self, now: Millis) -> bool {
        self.not_ready(now).is_none()
    }

    /// Returns why the VM is not ready, if it is not.
    pub(crate) fn not_ready(&self, now: Millis) -> Option<NotReady> {
        if !self.loaded.get() {
            Some(NotReady::NotLoaded)
        } else if self.stopping.get() {
            Some(NotReady::Stopping)
        } else if self.age(now) >= self.fresh_within.get() {
            Some(NotReady::Stale)
        } else {
            None
        }
    }
}
