//! Bounds, periods and counters of membership.

use crate::time::Millis;

/// Bounds and periods of membership.
#[derive(Clone, Debug)]
pub struct MemberLimits {
    /// The period of probes. Two of three probes go to fixed ring neighbours, so that at 9 members a VM
    /// hears from four others every 1.2 s, which the freshness rule of section 6 needs, at 5 messages/s.
    pub probe_period: Millis,
    /// The wait for an answer before the probe is repeated directly and through other members.
    pub ack_timeout: Millis,
    /// The wait for an answer by any path before the member is suspected.
    pub probe_timeout: Millis,
    /// How many members repeat a probe that got no answer.
    pub relays: usize,
    /// The constant part of the time between suspicion and removal.
    pub suspicion_base: Millis,
    /// The part of that time added for each doubling of the member count, because a refutation needs
    /// that many more steps to spread.
    pub suspicion_step: Millis,
    /// The period of probes to a suspected member until it refutes or is removed.
    pub suspicion_probe_period: Millis,
    /// The gap between two calls that counts as a pause of this process.
    pub pause_after: Millis,
    /// Within this time another member must have been heard before this VM removes a member. A VM that
    /// hears nobody is cut off itself and keeps its members as suspects.
    pub contact_within: Millis,
    /// The most bytes of piggybacked updates in one message, for each member. All members report a new
    /// revision at about the same time.
    pub update_bytes_per_member: usize,
    /// The least value of this bound, with which one statement and a few claims always fit.
    pub update_bytes_min: usize,
    /// The greatest value of this bound. With 5 messages/s it is half of the budget at 105 members.
    pub update_bytes_max: usize,
    /// The period of comparing the whole table with one random member.
    pub sync_period: Millis,
    /// The period of trying a seed, a listed VM or a dead member that does not take part.
    pub contact_period: Millis,
    /// The period in which a chosen VM compares summaries with the other data centres.
    pub summary_period: Millis,
    /// How many VMs of a data centre exchange summaries with other data centres.
    pub summary_vms: usize,
    /// How long a dead member stays in the published list.
    pub dead_shown: Millis,
    /// How long a dead member is remembered, and tried now and then. It bounds the partition after which
    /// the death of a VM elsewhere is still learned.
    pub dead_kept: Millis,
    /// The time in which repeated deaths of a VM count as flapping.
    pub flap_window: Millis,
    /// Deaths within the window from which a VM is held down.
    pub flap_deaths: usize,
    /// The first hold-down; each further death doubles it.
    pub hold_base: Millis,
    /// The longest hold-down.
    pub hold_max: Millis,
    /// The most VMs known, those of other data centres included. The two-year target is 630.
    pub max_members: usize,
}

impl Default for MemberLimits {
    fn default() -> Self {
        MemberLimits {
            probe_period: Millis(400),
            ack_timeout: Millis(300),
            probe_timeout: Millis(900),
            relays: 3,
            suspicion_base: Millis(1_300),
            suspicion_step: Millis(300),
            suspicion_probe_period: Millis(600),
            pause_after: Millis(1_000),
            contact_within: Millis::from_secs(3),
            update_bytes_per_member: 20,
            update_bytes_min: 300,
            update_bytes_max: 1_000,
            sync_period: Millis::from_secs(10),
            contact_period: Millis::from_secs(3),
            summary_period: Millis::from_secs(5),
            summary_vms: 3,
            dead_shown: Millis::from_secs(60),
            dead_kept: Millis::from_secs(3_600),
            flap_window: Millis::from_secs(60),
            flap_deaths: 2,
            hold_base: Millis::from_secs(10),
            hold_max: Millis::from_secs(60),
            max_members: 2_048,
        }
    }
}

impl MemberLimits {
    /// Returns the time between suspicion and removal at a member count.
    pub fn suspicion(&self, members: usize) -> Millis {
        let doublings = members.max(1).next_power_of_two().trailing_zeros();
        self.suspicion_base + Millis(self.suspicion_step.0 * u64::from(doublings))
    }

    /// Returns the most bytes of piggybacked updates in one message.
    pub(super) fn update_bytes(&self, members: usize) -> usize {
        let bytes = self.update_bytes_per_member.saturating_mul(members);
        bytes.max(self.update_bytes_min).min(self.update_bytes_max)
    }

    /// Returns the hold-down after a number of deaths within the window.
    pub(super) fn hold(&self, deaths: usize) -> Millis {
        if deaths < self.flap_deaths {
            return Millis::ZERO;
        }
        let doublings = (deaths - self.flap_deaths).min(16) as u32;
        Millis(self.hold_base.0.saturating_mul(1 << doublings)).min(self.hold_max)
    }
}

/// Counts for metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct MemberCounters {
    /// Messages received.
    pub received: u64,
    /// Messages of an earlier process of a VM, which are dropped.
    pub outdated: u64,
    /// Messages that hold an impossible value or come from outside the data centre without being part
    /// of a summary.
    pub refused: u64,
    /// Probes started.
    pub probes: u64,
    /// Probes that were repeated through other members.
    pub indirect_probes: u64,
    /// Messages to VMs whose addresses are unknown, which are not sent.
    pub unaddressed: u64,
    /// Suspicions raised by this VM.
    pub suspicions: u64,
    /// Members removed by this VM.
    pub deaths: u64,
    /// Claims about this VM that it refuted.
    pub refutations: u64,
    /// Pauses of this process.
    pub pauses: u64,
    /// Removals put off because this VM heard from no other member.
    pub isolated: u64,
    /// Claims that a later process with the name of this VM exists.
    pub replaced: u64,
}
