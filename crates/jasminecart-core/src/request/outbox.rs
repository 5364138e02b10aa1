//! Collects the actions that result from one input, and merges the messages to each VM into one of
//! each kind.

use std::collections::BTreeMap;

use super::types::{Action, AskItem, AskStamp, GrantItem, RequestMessage};
use crate::message::Outgoing;
use crate::names::VmId;
use crate::time::Millis;

#[derive(Debug, Default)]
pub(super) struct Outbox {
    actions: Vec<Action>,
    asks: BTreeMap<VmId, Vec<AskItem>>,
    grants: BTreeMap<VmId, Vec<GrantItem>>,
}

impl Outbox {
    pub(super) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(super) fn message(&mut self, to: &VmId, message: RequestMessage) {
        self.actions.push(Action::Message(Outgoing::new(to.clone(), message)));
    }

    pub(super) fn ask(&mut self, home: &VmId, item: AskItem) {
        self.asks.entry(home.clone()).or_default().push(item);
    }

    pub(super) fn grant(&mut self, vm: &VmId, item: GrantItem) {
        self.grants.entry(vm.clone()).or_default().push(item);
    }

    /// Returns the actions, with at most one message of each kind to each VM. `echo` gives the
    /// stamp of the last slot request from a VM.
    pub(super) fn finish(mut self, now: Millis, echo: impl Fn(&VmId) -> AskStamp) -> Vec<Action> {
        let stamp = AskStamp::at(now);
        for (vm, items) in std::mem::take(&mut self.asks) {
            self.message(&vm, RequestMessage::Ask { stamp, items });
        }
        for (vm, items) in std::mem::take(&mut self.grants) {
            let echo = echo(&vm);
            self.message(&vm, RequestMessage::Grant { echo, items });
        }
        self.actions
    }
}
