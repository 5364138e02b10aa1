//! Decides whether the view of this VM is recent enough to route by its own tables alone.

use crate::process::{MemberState, Members};
use crate::time::Millis;
use crate::version::Revision;

/// The maximum age of the last contact with enough members, and the longest gap between runs of the
/// event loop that is not treated as a pause.
pub(super) const MAX_CONTACT_AGE: Millis = Millis(1_500);
/// The time after a pause in which messages and packets may come from socket buffers. They may be
/// as old as the pause, so they don't count as recent contact.
const BACKLOG_READ_TIME: Millis = Millis(250);
/// Up to this many members, recent contact with a majority is required; in larger data centres,
/// recent contact with [`MIN_CONTACTS`] others is enough.
const MAJORITY_MAX_MEMBERS: usize = 9;
const MIN_CONTACTS: usize = 3;
/// Members with a contact within this time count towards the majority that must be alive in larger
/// data centres.
const RECENT_MEMBER_AGE: Millis = Millis::from_secs(60);

/// Tracks recent contact with other members, and pauses of this process.
#[derive(Debug, Default)]
pub(super) struct Freshness {
    last_run: Millis,
    resumed_at: Option<Millis>,
    fresh_until: Millis,
    newest_peer_revision: Revision,
    in_minority: bool,
}

impl Freshness {
    /// Records a run of the event loop. Returns whether it resumes after a pause.
    pub(super) fn advance(&mut self, now: Millis) -> bool {
        let paused = now.since(self.last_run) > MAX_CONTACT_AGE && self.last_run != Millis::ZERO;
        self.last_run = self.last_run.max(now);
        if paused {
            self.resumed_at = Some(now);
            self.fresh_until = Millis::ZERO;
        }
        paused
    }

    /// Replaces the list of members, which has the time of the last contact with each.
    pub(super) fn set_members(&mut self, now: Millis, members: &Members) {
        let reachable = members.list.iter().filter(|member| member.is_reachable());
        let count = reachable.clone().count().max(1);
        let others = reachable.filter(|member| member.vm != members.me);
        self.newest_peer_revision =
            others.clone().map(|member| member.revision).max().unwrap_or_default();
        let required_contacts =
            if count <= MAJORITY_MAX_MEMBERS { count / 2 } else { MIN_CONTACTS };
        let since = self.resumed_at.map_or(Millis::ZERO, |resumed| resumed + BACKLOG_READ_TIME);
        let mut contacts: Vec<Millis> =
            others.map(|member| member.heard_at).filter(|at| *at >= since).collect();
        contacts.sort_unstable();
        self.fresh_until = match required_contacts {
            0 => Millis::MAX,
            required_contacts => contacts
                .iter()
                .rev()
                .nth(required_contacts - 1)
                .map_or(Millis::ZERO, |at| *at + MAX_CONTACT_AGE),
        };
        self.in_minority = count > MAJORITY_MAX_MEMBERS && !has_majority(now, members);
    }

    /// Returns whether this VM had recent contact with enough members, and none has a newer
    /// document than `revision`.
    pub(super) fn is_fresh(&self, now: Millis, revision: Revision) -> bool {
        now < self.fresh_until && self.newest_peer_revision <= revision && !self.in_minority
    }

    /// Returns whether messages read now may have been queued during a pause.
    pub(super) fn is_reading_backlog(&self, now: Millis) -> bool {
        self.backlog_end().is_some_and(|end| now < end)
    }

    /// Returns the time by which everything queued during the last pause has been read.
    pub(super) fn backlog_end(&self) -> Option<Millis> {
        self.resumed_at.map(|resumed| resumed + BACKLOG_READ_TIME)
    }

    /// Returns when the event loop last resumed after a pause.
    pub(super) fn resumed_at(&self) -> Option<Millis> {
        self.resumed_at
    }
}

/// Returns whether a majority of the members contacted within [`RECENT_MEMBER_AGE`] is alive.
fn has_majority(now: Millis, members: &Members) -> bool {
    let recent = |last_contact: Millis| {
        now.since(last_contact) <= RECENT_MEMBER_AGE && last_contact != Millis::ZERO
    };
    let is_alive = |state: MemberState| !matches!(state, MemberState::Dead | MemberState::Suspect);
    let is_me = |member: &crate::process::Member| member.vm == members.me;
    let seen = members.list.iter().filter(|member| is_me(member) || recent(member.heard_at));
    let alive = seen.clone().filter(|member| is_me(member) || is_alive(member.state)).count();
    alive * 2 > seen.count()
}
