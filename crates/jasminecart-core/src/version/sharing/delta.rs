//! Computes and applies the differences between revisions of the routes.

use std::collections::VecDeque;
use std::sync::Arc;

use super::SharedItem;
use crate::names::Name;
use crate::version::{Routes, StoreRevision};

/// The number of route revisions that are retained to compute differences. Operators change the
/// routes a few times per minute at most; a peer that is further behind receives all routes.
const MAX_REVISIONS: usize = 8;

/// The received changes are relative to a route revision that this VM does not have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BaseUnknown;

/// The latest revisions of the routes, oldest first.
#[derive(Debug, Default)]
pub(super) struct RouteHistory(VecDeque<Arc<Routes>>);

impl RouteHistory {
    /// Appends `routes` unless the history contains the same or newer ones.
    pub(super) fn add(&mut self, routes: Arc<Routes>) {
        if self.0.back().is_some_and(|last| !routes.supersede(last)) {
            return;
        }
        self.0.push_back(routes);
        if self.0.len() > MAX_REVISIONS {
            self.0.pop_front();
        }
    }

    /// Returns the items that change the routes at revision `after` into `routes`. They contain all
    /// routes if no revision up to `after` is retained.
    pub(super) fn delta(&self, routes: &Routes, after: StoreRevision) -> Vec<SharedItem> {
        let base = self.0.iter().rev().find(|known| known.revision <= after);
        let mut items = vec![SharedItem::Routes {
            base: base.map(|base| base.revision),
            revision: routes.revision,
            version: routes.version,
            idle_timeout: routes.idle_timeout,
        }];
        let differs = |address, rule| base.is_none_or(|base| base.rule(address) != Some(rule));
        let changed = routes.by_address.iter().filter(|(address, rule)| differs(address, rule));
        items.extend(changed.map(|(at, rule)| SharedItem::Route(*at, rule.as_ref().clone())));
        let addresses = base.iter().flat_map(|base| base.by_address.keys());
        let removed = addresses.filter(|address| routes.rule(address).is_none());
        items.extend(removed.map(|address| SharedItem::RouteGone(*address)));
        let known = |service: &Name| base.and_then(|base| base.services.get(service));
        let changed = routes.services.iter().filter(|(name, rule)| known(name) != Some(rule));
        items.extend(changed.map(|(name, rule)| SharedItem::Service(name.clone(), *rule)));
        let services = base.iter().flat_map(|base| base.services.keys());
        let removed = services.filter(|name| !routes.services.contains_key(*name));
        items.extend(removed.map(|name| SharedItem::ServiceGone(name.clone())));
        items
    }
}

/// Applies the route items to the known routes. Returns the new routes, or `None` if no item is
/// about routes.
pub(super) fn apply<'a>(
    items: impl Iterator<Item = &'a SharedItem>,
    known: Option<&Arc<Routes>>,
) -> Result<Option<Arc<Routes>>, BaseUnknown> {
    let mut next: Option<Routes> = None;
    for item in items {
        match (item, next.as_mut()) {
            (SharedItem::Routes { base, revision, version, idle_timeout }, _) => {
                let (by_address, services) = match base {
                    None => Default::default(),
                    Some(base) => {
                        let same = known.filter(|known| known.revision == *base);
                        let same = same.ok_or(BaseUnknown)?;
                        (same.by_address.clone(), same.services.clone())
                    }
                };
                let (revision, version) = (*revision, *version);
                let idle_timeout = *idle_timeout;
                next = Some(Routes { revision, version, by_address, services, idle_timeout });
            }
            (SharedItem::Route(address, rule), Some(routes)) => {
                routes.by_address.insert(*address, Arc::new(rule.clone()));
            }
            (SharedItem::RouteGone(address), Some(routes)) => {
                routes.by_address.remove(address);
            }
            (SharedItem::Service(name, rule), Some(routes)) => {
                routes.services.insert(name.clone(), rule.sanitized());
            }
            (SharedItem::ServiceGone(name), Some(routes)) => {
                routes.services.remove(name);
            }
            (
                SharedItem::Target(_)
                | SharedItem::Evacuation(_)
                | SharedItem::Route(..)
                | SharedItem::RouteGone(_),
                _,
            ) => {}
            (SharedItem::Service(..) | SharedItem::ServiceGone(_), None) => {}
        }
    }
    Ok(next.map(Arc::new))
}
