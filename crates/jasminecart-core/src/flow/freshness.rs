//! Whether this VM may trust its own tables.

use crate::process::{MemberState, Members};
use crate::time::Millis;
use crate::version::Revision;

/// The span within which enough members must have been heard, and the longest pause of the event loop.
pub(super) const FRESH_SPAN: Millis = Millis(1_500);
/// After a pause, messages that waited in socket buffers are read first. They tell nothing of the present.
const BUFFERED_SPAN: Millis = Millis(250);
/// Up to this many members, a majority must be heard; beyond, [`HEARD_IN_LARGE`] others are enough.
const SMALL: usize = 9;
const HEARD_IN_LARGE: usize = 3;
const SEEN_SPAN: Millis = Millis::from_secs(60);

/// Tracks whom this VM heard, and its own pauses.
#[derive(Debug, Default)]
pub(super) struct Freshness {
    last_run: Millis,
    resumed_at: Option<Millis>,
    until: Millis,
    newest_peer: Revision,
    minority: bool,
}

impl Freshness {
    /// Notes that the event loop runs. Returns whether it resumes after a pause.
    pub(super) fn run(&mut self, now: Millis) -> bool {
        let paused = now.since(self.last_run) > FRESH_SPAN && self.last_run != Millis::ZERO;
        self.last_run = self.last_run.max(now);
        if paused {
            self.resumed_at = Some(now);
            self.until = Millis::ZERO;
        }
        paused
    }

    /// Takes the list of members with the times at which they were heard.
    pub(super) fn set_members(&mut self, now: Millis, members: &Members) {
        let counted = members.list.iter().filter(|member| member.is_reachable());
        let count = counted.clone().count().max(1);
        let others = counted.filter(|member| member.vm != members.me);
        self.newest_peer = others.clone().map(|member| member.revision).max().unwrap_or_default();
        let needed = if count <= SMALL { count / 2 } else { HEARD_IN_LARGE };
        let since = self.resumed_at.map_or(Millis::ZERO, |resumed| resumed + BUFFERED_SPAN);
        let mut heard: Vec<Millis> =
            others.map(|member| member.heard_at).filter(|heard| *heard >= since).collect();
        heard.sort_unstable();
        self.until = match needed {
            0 => Millis::MAX,
            needed => {
                heard.iter().rev().nth(needed - 1).map_or(Millis::ZERO, |at| *at + FRESH_SPAN)
            }
        };
        self.minority = count > SMALL && !has_majority(now, members);
    }

    /// Tells whether this VM is fresh with a document of this revision.
    pub(super) fn is_fresh(&self, now: Millis, revision: Revision) -> bool {
        now < self.until && self.newest_peer <= revision && !self.minority
    }

    /// Tells whether messages read now may have waited during a pause.
    pub(super) fn reads_backlog(&self, now: Millis) -> bool {
        self.backlog_end().is_some_and(|end| now < end)
    }

    /// Returns when what waited during the last pause was read.
    pub(super) fn backlog_end(&self) -> Option<Millis> {
        self.resumed_at.map(|resumed| resumed + BUFFERED_SPAN)
    }

    /// Returns when the event loop last resumed after a pause.
    pub(super) fn resumed_at(&self) -> Option<Millis> {
        self.resumed_at
    }
}

/// Tells whether a majority of the members seen in the last minute is alive.
fn has_majority(now: Millis, members: &Members) -> bool {
    let recent = |heard: Millis| now.since(heard) <= SEEN_SPAN && heard != Millis::ZERO;
    let is_alive = |state: MemberState| !matches!(state, MemberState::Dead | MemberState::Suspect);
    let own = |member: &crate::process::Member| member.vm == members.me;
    let seen = members.list.iter().filter(|member| own(member) || recent(member.heard_at));
    let alive = seen.clone().filter(|member| own(member) || is_alive(member.state)).count();
    alive * 2 > seen.count()
}
