//! Judges a new request: by its key first, then by readiness, tenant and queue.

use super::dispatcher::{Dispatcher, Request};
use super::keys::{Judgement, issuer_of};
use super::outbox::Outbox;
use super::queue::{Place, Waiting};
use super::types::{Action, IssuedKey, Refusal, RefusalReason, RequestId, RequestMeta, RunState};
use crate::names::Name;
use crate::time::Millis;
use crate::version::{Class, Document, Tenant};

impl Dispatcher {
    /// Queues a request and returns `true`, or refuses or forwards it.
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
        match self.check(now, &meta) {
            Ok((class, tenant)) => self.enqueue(now, meta, &class, tenant, out),
            Err(reason) => {
                self.refuse(id, Refusal { state: RunState::NotRun, reason }, out);
                false
            }
        }
    }

    /// Judges the key. A `false` means that the request was refused or forwarded.
    fn admit_key(&mut self, meta: &RequestMeta, forwarded: bool, out: &mut Outbox) -> bool {
        let Some(key) = &meta.key else { return true };
        let (state, reason) = match self.keys.judge(key) {
            Judgement::Free => return true,
            Judgement::Used(_) => {
                self.counters.keys_repeated += 1;
                (RunState::Unknown, RefusalReason::KeyUsed)
            }
            Judgement::Invalid => (RunState::NotRun, RefusalReason::KeyInvalid),
            Judgement::Elsewhere if self.forward(meta.id, key, forwarded, out) => return false,
            Judgement::Elsewhere => (RunState::Unknown, RefusalReason::KeyOwnerLost),
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
        let mine = issuer_of(key) == (self.me.clone(), self.incarnation);
        if forwarded && !mine {
            return false;
        }
        let Some((vm, address)) = self.decider(key) else { return false };
        self.counters.forwarded += 1;
        out.push(Action::Forward { request, vm, address });
        true
    }

    fn check(
        &mut self,
        now: Millis,
        meta: &RequestMeta,
    ) -> Result<(Class, Option<Name>), RefusalReason> {
        let document = self.document.clone().ok_or(RefusalReason::NotReady)?;
        if self.leaving {
            return Err(RefusalReason::NotReady);
        }
        let active = self.directory.active(&meta.service).ok_or(RefusalReason::NoService)?;
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

    /// Refuses early a request that would wait longer than its class or deadline allows. An early
    /// refusal lets the client try elsewhere at once and keeps the queue short for others.
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
        let room = self.make_room(now, class.priority, out);
        let bound = room && meta.key.as_ref().is_none_or(|key| self.keys.bind(key, id));
        if !bound {
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
            place: None,
            attempts: Vec::new(),
            sent: 0,
            in_doubt: false,
            tried: Vec::new(),
        };
        self.requests.insert(id, request);
        self.queue(now, id, now);
        true
    }

    /// Puts a request into the queue of its service. Retries and hedges keep the order of their request.
    pub(super) fn queue(&mut self, now: Millis, id: RequestId, ready_at: Millis) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let place = Place { priority: request.priority, order: request.order };
        let waiting = Waiting {
            request: id,
            since: ready_at,
            ready_at,
            max_wait: request.max_wait,
            deadline: request.meta.deadline,
        };
        let queued = request.place.replace(place).is_some();
        crate::invariant!(!queued, "request {} was queued twice", id.0);
        self.queues.entry(request.meta.service.clone()).or_default().push(now, place, waiting);
        self.queued += 1;
    }

    /// Takes a request out of its queue, if it is there.
    pub(super) fn unqueue(&mut self, id: RequestId) -> Option<Waiting> {
        let request = self.requests.get_mut(&id)?;
        let place = request.place.take()?;
        let queue = self.queues.get_mut(&request.meta.service);
        let removed = queue.and_then(|queue| queue.remove(place));
        crate::invariant!(removed.is_some(), "request {} was not in its queue", id.0);
        self.queued = self.queued.saturating_sub(1);
        removed
    }

    /// Makes room in a full queue by giving up the newest request of a lower class, if there is one.
    fn make_room(&mut self, now: Millis, priority: u8, out: &mut Outbox) -> bool {
        let most =
            self.document.as_ref().map_or(0, |document| document.limits().max_queue) as usize;
        if self.queued < most {
            return true;
        }
        let lasts =
            self.queues.iter().filter_map(|(service, queue)| Some((queue.last()?, service)));
        let Some((place, service)) = lasts.max_by_key(|(place, _)| *place) else { return false };
        if place.priority <= priority {
            return false;
        }
        let last = self.queues.get(service).and_then(|queue| queue.get(place));
        let Some(request) = last.map(|waiting| waiting.request) else { return false };
        self.give_up(now, request, RefusalReason::Overload, out);
        true
    }

    /// Answers a request that is not known yet, or not any more, with a refusal.
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

/// Returns the class of a request, or that of its service when the class left the document.
fn class_of<'a>(document: &'a Document, meta: &RequestMeta) -> Option<&'a Class> {
    let by_service = || {
        let service = document.services().get(&meta.service)?;
        document.classes().get(&service.class)
    };
    document.classes().get(&meta.class).or_else(by_service)
}

/// Returns the limits of a tenant. Tenants outside the document share those of `default`; without such
/// a section only the queue bounds them.
fn tenant_of<'a>(document: &'a Document, tenant: &Name) -> Option<&'a Tenant> {
    let tenants = document.tenants();
    tenants.get(tenant).or_else(|| tenants.get("default"))
}
