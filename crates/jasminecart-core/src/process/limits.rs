//! Bounds, periods and counters of membership.

use crate::time::Millis;

/// Bounds and periods of membership.
#[derive(Clone, Debug)]
pub struct MemberLimits {
    /// The period of probes. Two of three probes go to fixed ring neighbours. At 9 members a VM
    /// thus has contact with four others every 1.2 s, which the freshness rule (`docs/design.md`,
    /// section 6) needs, at 5 messages/s.
    pub probe_period: Millis,
    /// The time without an ack after which a probe is repeated directly and through other members.
    pub ack_timeout: Millis,
    /// The time without an ack by any path after which the member is suspected.
    pub probe_timeout: Millis,
    /// How many members are requested to probe a member that did not respond.
    pub indirect_probe_relays: usize,
    /// The constant part of the suspicion timeout, after which a suspected member is removed.
    pub suspicion_base: Millis,
    /// The part of the suspicion timeout added for each doubling of the member count, because a
    /// refutation takes one more round of gossip to spread.
    pub suspicion_step: Millis,
    /// The period of probes to a suspected member until it refutes or is removed.
    pub suspicion_probe_period: Millis,
    /// The gap between two calls that counts as a pause of this process.
    pub pause_threshold: Millis,
    /// The time without contact with any other member after which this VM considers itself
    /// partitioned. It then keeps its members as suspects and removes none.
    pub isolation_timeout: Millis,
    /// The bound on piggybacked updates in one message, in bytes per member. It grows with the
    /// member count because all members report a new revision at about the same time.
    pub update_bytes_per_member: usize,
    /// The least value of this bound, so that one state update and a few suspicions or deaths
    /// always fit.
    pub update_bytes_min: usize,
    /// The greatest value of this bound. At 5 messages/s it uses half of the traffic budget at 105
    /// members.
    pub update_bytes_max: usize,
    /// The period of comparing the whole table with one random member (anti-entropy).
    pub sync_period: Millis,
    /// The period of contacting a seed, a listed VM or a dead member that is not a live member.
    pub contact_period: Millis,
    /// The period at which a selected VM compares summaries with the other data centres.
    pub summary_period: Millis,
    /// How many VMs of a data centre exchange summaries with other data centres.
    pub summary_vms: usize,
    /// How long a dead member stays in the published list.
    pub dead_publish_time: Millis,
    /// How long the record of a dead member is retained and the member contacted now and then. It
    /// bounds the length of a partition after which a VM still receives a death on the other side.
    pub dead_retention: Millis,
    /// The window in which repeated deaths of a VM count as flapping.
    pub flap_window: Millis,
    /// The number of deaths within the window from which a VM is held down: it may not own anything
    /// yet.
    pub flap_deaths: usize,
    /// The first hold-down; each further death doubles it.
    pub hold_down_base: Millis,
    /// The longest hold-down.
    pub hold_down_max: Millis,
    /// Upper bound on the known VMs, including those of other data centres. The two-year target is
    /// 630.
    pub max_members: usize,
}

impl Default for MemberLimits {
    fn default() -> Self {
        MemberLimits {
            probe_period: Millis(400),
            ack_timeout: Millis(300),
            probe_timeout: Millis(900),
            indirect_probe_relays: 3,
            suspicion_base: Millis(1_300),
            suspicion_step: Millis(300),
            suspicion_probe_period: Millis(600),
            pause_threshold: Millis(1_000),
            isolation_timeout: Millis::from_secs(3),
            update_bytes_per_member: 20,
            update_bytes_min: 300,
            update_bytes_max: 1_000,
            sync_period: Millis::from_secs(10),
            contact_period: Millis::from_secs(3),
            summary_period: Millis::from_secs(5),
            summary_vms: 3,
            dead_publish_time: Millis::from_secs(60),
            dead_retention: Millis::from_secs(3_600),
            flap_window: Millis::from_secs(60),
            flap_deaths: 2,
            hold_down_base: Millis::from_secs(10),
            hold_down_max: Millis::from_secs(60),
            max_members: 2_048,
        }
    }
}

impl MemberLimits {
    /// Returns the time from suspicion to removal at a given member count.
    pub fn suspicion_timeout(&self, members: usize) -> Millis {
        let doublings = members.max(1).next_power_of_two().trailing_zeros();
        self.suspicion_base + Millis(self.suspicion_step.0 * u64::from(doublings))
    }

    /// Returns the bound on piggybacked updates in one message, in bytes.
    pub(super) fn update_bytes(&self, members: usize) -> usize {
        let bytes = self.update_bytes_per_member.saturating_mul(members);
        bytes.max(self.update_bytes_min).min(self.update_bytes_max)
    }

    /// Returns the hold-down after a number of deaths within the window.
    pub(super) fn hold_down(&self, deaths: usize) -> Millis {
        if deaths < self.flap_deaths {
            return Millis::ZERO;
        }
        let doublings = (deaths - self.flap_deaths).min(16) as u32;
        Millis(self.hold_down_base.0.saturating_mul(1 << doublings)).min(self.hold_down_max)
    }
}

/// Counters for metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct MemberCounters {
    /// Messages received.
    pub received: u64,
    /// Messages dropped because an earlier process of their VM sent them.
    pub outdated: u64,
    /// Messages refused because they exceed a bound, name this VM as their sender, or come from
    /// another data centre without being part of a summary.
    pub refused: u64,
    /// Probes started.
    pub probes: u64,
    /// Probes repeated through other members.
    pub indirect_probes: u64,
    /// Messages not sent because the addresses of their receivers are unknown.
    pub unaddressed: u64,
    /// Suspicions raised by this VM.
    pub suspicions: u64,
    /// Members removed by this VM.
    pub deaths: u64,
    /// Suspicions and deaths reported about this VM that it refuted.
    pub refutations: u64,
    /// Detected pauses of this process.
    pub pauses: u64,
    /// Removals postponed because this VM had no contact with any other member.
    pub isolated: u64,
    /// Updates that report a later process with the name of this VM.
    pub replaced: u64,
}
