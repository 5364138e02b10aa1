//! Admission of a new request: its key is checked first, then readiness, tenant and queue.

use super::dispatcher::{Dispatcher, Request};
use super::keys::{KeyStatus, issuer_of};
use super::outbox::Outbox;
use super::queue::{QueuePosition, QueuedRequest};
use super::types::{Action, IssuedKey, Refusal, RefusalReason, RequestId, RequestMeta, RunState};
use crate::names::Name;
use crate::time::Millis;
use crate::version::{Class, Document, Tenant};

impl Dispatcher {
    /// Queues a request and returns `true`, or refuses or forwards it and returns `false`.
    pub(super) fn admit(
        &mut self,
        now: Millis,
        meta: RequestMeta,
        forwarded: bool,
        out: &mut Outbox,
    ) -> bool {
        let id = meta.id;
        let known = self.requests.contains_key(&id);
        crate::invariant!(!known, "request {} was submitted twice", id.0);
        if known {
            return false;
        }
        if !self.admit_key(&meta, forwarded, out) {
            return false;
        }
        match self.check_admission(now, &meta) {
            Ok((class, tenant)) => self.enqueue(now, meta, &class, tenant, out),
            Err(reason) => {
                self.refuse(id, Refusal { state: RunState::NotRun, reason }, out);
                false
            }
        }
    }

    /// Checks the key. Returns `false` if the request was refused or forwarded.
    fn admit_key(&mut self, meta: &RequestMeta, forwarded: bool, out: &mut Outbox) -> bool {
        let Some(key) = &meta.key else { return true };
        let (state, reason) = match self.keys.key_status(key) {
            KeyStatus::Unused => return true,
            KeyStatus::Used(_) => {
                self.counters.keys_repeated += 1;
                (RunState::Unknown, RefusalReason::KeyUsed)
            }
            KeyStatus::Invalid => (RunState::NotRun, RefusalReason::KeyInvalid),
            KeyStatus::OwnedElsewhere if self.forward(meta.id, key, forwarded, out) => {
                return false;
            }
            KeyStatus::OwnedElsewhere => (RunState::Unknown, RefusalReason::KeyOwnerLost),
        };
        self.refuse(meta.id, Refusal { state, reason }, out);
        false
    }

    fn forward(
        &mut self,
        request: RequestId,
        key: &IssuedKey,
        forwarded: bool,
        out: &mut Outbox,
    ) -> bool {
        let issued_here = issuer_of(key) == (self.me.clone(), self.incarnation);
        if forwarded && !issued_here {
            return false;
        }
        let Some((vm, address)) = self.key_owner(key) else { return false };
        self.counters.forwarded += 1;
        out.push(Action::Forward { request, vm, address });
        true
    }

    fn check_admission(
        &mut self,
        now: Millis,
        meta: &RequestMeta,
    ) -> Result<(Class, Option<Name>), RefusalReason> {
        let document = self.document.clone().ok_or(RefusalReason::NotReady)?;
        if self.leaving {
            return Err(RefusalReason::NotReady);
        }
        let active = self.target_index.active(&meta.service).ok_or(RefusalReason::NoService)?;
        if active.is_empty() {
            return Err(RefusalReason::NoTarget);
        }
        if now >= meta.deadline {
            return Err(RefusalReason::Deadline);
        }
        if self.requests.len() >= self.limits.max_requests {
            return Err(RefusalReason::Overload);
        }
        let class = class_of(&document, meta).ok_or(RefusalReason::NoService)?.clone();
        self.check_wait(now, meta, &class)?;
        let tenant = tenant_of(&document, &meta.tenant);
        if tenant.is_some_and(|tenant| !self.tenants.admit(now, tenant)) {
            return Err(RefusalReason::TenantLimit);
        }
        Ok((class, tenant.map(|tenant| tenant.name.clone())))
    }

    /// Refuses a request at once if it is expected to wait longer than its class or deadline
    /// allows. An early refusal lets the client try elsewhere without delay and keeps the queue
    /// short.
    fn check_wait(
        &self,
        now: Millis,
        meta: &RequestMeta,
        class: &Class,
    ) -> Result<(), RefusalReason> {
        let Some(queue) = self.queues.get(&meta.service) else { return Ok(()) };
        let allowed = queue.allowed(now, class.max_queue_time).min(meta.deadline.since(now));
        let expected = queue.expected_wait(now, class.priority);
        if expected > allowed { Err(RefusalReason::Overload) } else { Ok(()) }
    }

    fn enqueue(
        &mut self,
        now: Millis,
        meta: RequestMeta,
        class: &Class,
        tenant: Option<Name>,
        out: &mut Outbox,
    ) -> bool {
        let id = meta.id;
        let has_capacity = self.ensure_queue_capacity(now, class.priority, out);
        let reserved =
            has_capacity && meta.key.as_ref().is_none_or(|key| self.keys.reserve(key, id));
        if !reserved {
            tenant.iter().for_each(|tenant| self.tenants.release(tenant));
            let refusal = Refusal { state: RunState::NotRun, reason: RefusalReason::Overload };
            self.refuse(id, refusal, out);
            return false;
        }
        self.next_order += 1;
        let request = Request {
            meta,
            tenant,
            priority: class.priority,
            max_wait: class.max_queue_time,
            order: self.next_order,
            position: None,
            attempts: Vec::new(),
            attempts_sent: 0,
            may_have_run: false,
            tried_targets: Vec::new(),
            hedge_withheld: false,
        };
        self.requests.insert(id, request);
        self.queue(now, id, now);
        true
    }

    /// Inserts a request into the queue of its service. Retries and hedges keep the position of
    /// their request.
    pub(super) fn queue(&mut self, now: Millis, id: RequestId, ready_at: Millis) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let position = QueuePosition { priority: request.priority, order: request.order };
        let waiting = QueuedRequest {
            request: id,
            since: ready_at,
            ready_at,
            max_wait: request.max_wait,
            deadline: request.meta.deadline,
        };
        let queued = request.position.replace(position).is_some();
        crate::invariant!(!queued, "request {} was queued twice", id.0);
        self.queues.entry(request.meta.service.clone()).or_default().push(now, position, waiting);
        self.queued += 1;
    }

    /// Removes a request from its queue, if it is queued.
    pub(super) fn dequeue(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let request = self.requests.get_mut(&id)?;
        let position = request.position.take()?;
        let queue = self.queues.get_mut(&request.meta.service);
        let removed = queue.and_then(|queue| queue.remove(position));
        crate::invariant!(removed.is_some(), "request {} was not in its queue", id.0);
        self.queued = self.queued.saturating_sub(1);
        removed
    }

    /// Ensures that the queue has space for one more request. If it is full, refuses the newest
    /// request of a lower class than `priority`; returns `false` if there is none.
    fn ensure_queue_capacity(&mut self, now: Millis, priority: u8, out: &mut Outbox) -> bool {
        let queue_limit =
            self.document.as_ref().map_or(0, |document| document.limits().max_queue) as usize;
        if self.queued < queue_limit {
            return true;
        }
        let last_positions =
            self.queues.iter().filter_map(|(service, queue)| Some((queue.last()?, service)));
        let Some((position, service)) = last_positions.max_by_key(|(position, _)| *position) else {
            return false;
        };
        if position.priority <= priority {
            return false;
        }
        let last = self.queues.get(service).and_then(|queue| queue.get(position));
        let Some(request) = last.map(|waiting| waiting.request) else { return false };
        self.refuse_queued(now, request, RefusalReason::Overload, out);
        true
    }

    /// Refuses a request that has no entry in `requests`, before it is added or after it is
    /// removed.
    pub(super) fn refuse(&mut self, request: RequestId, refusal: Refusal, out: &mut Outbox) {
        let counters = &mut self.counters;
        counters.refused += 1;
        counters.refused_not_run += u64::from(refusal.state == RunState::NotRun);
        match refusal.reason {
            RefusalReason::Overload => counters.refused_overload += 1,
            RefusalReason::TenantLimit => counters.refused_tenant += 1,
            RefusalReason::Deadline => counters.refused_deadline += 1,
            _ => {}
        }
        out.push(Action::Refuse { request, refusal });
    }
}

/// Returns the class of a request, or that of its service if its class is no longer in the
/// document.
fn class_of<'a>(document: &'a Document, meta: &RequestMeta) -> Option<&'a Class> {
    let service_class = || {
        let service = document.services().get(&meta.service)?;
        document.classes().get(&service.class)
    };
    document.classes().get(&meta.class).or_else(service_class)
}

/// Returns the limits of a tenant. Tenants that are not in the document share those of `default`.
/// Without a `default` section only the queue limits them.
fn tenant_of<'a>(document: &'a Document, tenant: &Name) -> Option<&'a Tenant> {
    let tenants = document.tenants();
    tenants.get(tenant).or_else(|| tenants.get("default"))
}
