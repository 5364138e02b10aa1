//! Differences between revisions of the routes.

use std::collections::VecDeque;
use std::sync::Arc;

use super::SharedItem;
use crate::version::{Revision, Routes};

/// How many revisions of the routes are kept to compute differences. Operators change them a few times a
/// minute at most; a peer that is further behind gets all routes.
const KEPT: usize = 8;

/// The changes refer to routes that this VM does not have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BaseUnknown;

/// The last revisions of the routes.
#[derive(Debug, Default)]
pub(super) struct RouteHistory(VecDeque<Arc<Routes>>);

impl RouteHistory {
    /// Adds routes unless the history has them or newer ones.
    pub(super) fn add(&mut self, routes: Arc<Routes>) {
        if self.0.back().is_some_and(|last| last.revision >= routes.revision) {
            return;
        }
        self.0.push_back(routes);
        if self.0.len() > KEPT {
            self.0.pop_front();
        }
    }

    /// Returns the items that lead from the routes in force at `after` to `routes`. They contain all routes
    /// when the earlier ones are no longer known.
    pub(super) fn delta(&self, routes: &Routes, after: Revision) -> Vec<SharedItem> {
        let base = self.0.iter().rev().find(|known| known.revision <= after);
        let mut items = vec![SharedItem::Routes {
            base: base.map(|base| base.revision),
            revision: routes.revision,
            version: routes.version,
            idle_timeout: routes.idle_timeout,
        }];
        let differs = |address, rule| base.is_none_or(|base| base.rule(address) != Some(rule));
        let written = routes.by_address.iter().filter(|(address, rule)| differs(address, rule));
        items.extend(written.map(|(at, rule)| SharedItem::Route(*at, rule.as_ref().clone())));
        let earlier = base.iter().flat_map(|base| base.by_address.keys());
        let gone = earlier.filter(|address| routes.rule(address).is_none());
        items.extend(gone.map(|address| SharedItem::RouteGone(*address)));
        items
    }
}

/// Applies the items that concern routes. Returns the new routes, if the items bring any.
pub(super) fn apply<'a>(
    items: impl Iterator<Item = &'a SharedItem>,
    known: Option<&Arc<Routes>>,
) -> Result<Option<Arc<Routes>>, BaseUnknown> {
    let mut next: Option<Routes> = None;
    for item in items {
        match (item, next.as_mut()) {
            (SharedItem::Routes { base, revision, version, idle_timeout }, _) => {
                let by_address = match base {
                    None => Default::default(),
                    Some(base) => {
                        let same = known.filter(|known| known.revision == *base);
                        same.ok_or(BaseUnknown)?.by_address.clone()
                    }
                };
                let (revision, version) = (*revision, *version);
                let idle_timeout = *idle_timeout;
                next = Some(Routes { revision, version, by_address, idle_timeout });
            }
            (SharedItem::Route(address, rule), Some(routes)) => {
                routes.by_address.insert(*address, Arc::new(rule.clone()));
            }
            (SharedItem::RouteGone(address), Some(routes)) => {
                routes.by_address.remove(address);
            }
            (SharedItem::Target(_) | SharedItem::Route(..) | SharedItem::RouteGone(_), _) => {}
        }
    }
    Ok(next.map(Arc::new))
}
