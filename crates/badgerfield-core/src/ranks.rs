//! Roles by rank: the few members of a region that read or watch the store for the others.

use std::collections::BTreeSet;

use crate::view::{Member, View};

/// Number of members of a region that read the store's values all the time.
const READERS_PER_REGION: usize = 2;
/// Number of members of a region that watch the store in a large view.
const WATCHERS_PER_REGION: usize = 3;
/// Number of members of a region that watch the store if the first [`WATCHERS_PER_REGION`] of
/// them seem to be cut off.
const MAX_WATCHERS_PER_REGION: usize = 12;
/// Time without updates of the upstream list after which backup watchers watch the store, as a
/// percentage of the time for which a leaving upstream still accepts requests.
const BACKUP_DELAY_PERCENT: u32 = 60;
/// Time without updates of the upstream list after which further members watch the store, as a
/// percentage of the same time. Twice as many do after each further [`FALLBACK_STEP_PERCENT`], so
/// that the store is not read by the whole of a large fleet as soon as the watchers fail.
///
/// If only one member can reach the store, it must have read the list, and sent its last request
/// to a leaving upstream, before that upstream stops accepting requests.
const FALLBACK_DELAY_PERCENT: u32 = 70;
/// Number of members of a region that watch the store after [`FALLBACK_DELAY_PERCENT`].
const FIRST_FALLBACK_WATCHERS: usize = 48;
/// Additional delay of each further step.
const FALLBACK_STEP_PERCENT: u32 = 4;
/// Delay after which all members watch the store.
const MAX_DELAY_PERCENT: u32 = 90;

/// The ranks of this process for the roles that only a few members have.
///
/// Ranks change only with the view but are needed at every tick, so they are cached.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Ranks {
    /// The rank in the region as a reader of the store's values.
    reader: Option<usize>,
    /// The position among the readers of all regions.
    reading_order: usize,
    /// The rank in the region as a watcher of the store.
    watcher: Option<usize>,
    /// The rank in the fleet as the writer that marks views as complete.
    completion_writer: Option<usize>,
}

impl Ranks {
    /// Returns the ranks of a member in a view.
    pub(crate) fn new(view: &View, me: &Member) -> Self {
        let position =
            |ranked: &[&Member]| ranked.iter().position(|m| m.incarnation == me.incarnation);
        let rank_in = |subject: &[u8], region| position(&view.ranked_by_capacity(subject, region));
        let reader = rank_in(b"reader", Some(&me.region));
        let regions: BTreeSet<_> = view.members.iter().map(|m| &m.region).collect();
        let region_index = regions.iter().position(|region| **region == me.region).unwrap_or(0);
        Self {
            reader,
            reading_order: reader.unwrap_or(READERS_PER_REGION) * regions.len() + region_index,
            watcher: position(&spread_domains(
                view.ranked_by_capacity(b"follower", Some(&me.region)),
            )),
            completion_writer: rank_in(b"marker", None),
        }
    }

    /// Returns whether the member reads the store's values all the time.
    pub(crate) fn is_reader(&self) -> bool {
        self.reader.is_some_and(|rank| rank < READERS_PER_REGION)
    }

    /// Returns the position among the readers of all regions.
    pub(crate) fn reading_order(&self) -> usize {
        self.reading_order
    }

    /// Returns whether the member is a watcher or a backup watcher of the store, or has no rank.
    pub(crate) fn can_probe(&self) -> bool {
        self.watcher.is_none_or(|rank| rank < MAX_WATCHERS_PER_REGION)
    }

    /// Returns the rank as a watcher of the store; 0 without a rank.
    pub(crate) fn watcher_rank(&self) -> u32 {
        self.watcher.map_or(0, |rank| u32::try_from(rank).unwrap_or(u32::MAX))
    }

    /// Returns whether the member marks views as complete.
    pub(crate) fn is_completion_writer(&self) -> bool {
        self.completion_writer == Some(0)
    }

    /// Returns the time without updates of the upstream list after which the member watches the
    /// store, as a percentage of the time for which a leaving upstream still accepts requests.
    ///
    /// `None` means that the member does not watch the store in place of others. If `is_heavy`,
    /// the list is so long, or the members are so many, that only the backup watchers may read it:
    /// the answers to more of them would fill the store's link.
    pub(crate) fn watch_delay_percent(&self, is_heavy: bool) -> Option<u32> {
        let percent = match self.watcher {
            Some(0..WATCHERS_PER_REGION) => 0,
            Some(WATCHERS_PER_REGION..MAX_WATCHERS_PER_REGION) => BACKUP_DELAY_PERCENT,
            Some(_) if is_heavy => return None,
            Some(rank) => {
                let step = (rank / FIRST_FALLBACK_WATCHERS).checked_ilog2().map_or(0, |n| n + 1);
                (FALLBACK_DELAY_PERCENT + step * FALLBACK_STEP_PERCENT).min(MAX_DELAY_PERCENT)
            }
            None => FALLBACK_DELAY_PERCENT,
        };
        Some(percent)
    }
}

/// Moves the first member of each failure domain to the front and keeps the order otherwise, so
/// that the loss of a domain does not take all watchers with it.
fn spread_domains(ranked: Vec<&Member>) -> Vec<&Member> {
    let mut seen = BTreeSet::new();
    let (mut spread, others): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|m| seen.insert(&m.domain));
    spread.extend(others);
    spread
}
