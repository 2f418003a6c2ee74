//! Duties by rank: which few members of a region read the platform's values for the others.

use crate::view::{Member, View};

/// How many members of a region read the platform's values all the time.
const READERS: usize = 2;
/// How many members of a region follow the platform's values in a larger view.
const FOLLOWERS: usize = 3;
/// How many members of a region follow the platform's values if the first are cut off.
const SUBSTITUTES: usize = 12;
/// After which part of an upstream's notice, in hundredths, substitutes follow the list of
/// upstreams if they hear nothing of it.
const SUBSTITUTES_AFTER: u32 = 60;
/// After which part everybody does: one that alone reaches the platform must have read the
/// list, and sent its last request to who leaves, before the notice is over.
const ALL_AFTER: u32 = 70;

/// Where this process stands by rank, in the duties that few members have. Ranks change with
/// the view only, and are asked for at every tick.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Ranks {
    /// Its place among the region's readers of the platform's values.
    reader: Option<usize>,
    /// Its place among the region's followers of the list of upstreams.
    follower: Option<usize>,
    /// Its place among those that mark complete views.
    marker: Option<usize>,
}

impl Ranks {
    /// Ranks a member in a view.
    pub(crate) fn of(view: &View, me: &Member) -> Self {
        let place = |subject: &[u8], region| {
            let ranked = view.ranked(subject, region);
            ranked.iter().position(|m| m.incarnation == me.incarnation)
        };
        Self {
            reader: place(b"reader", Some(&me.region)),
            follower: place(b"follower", Some(&me.region)),
            marker: place(b"marker", None),
        }
    }

    /// Tells whether the member reads the platform's values all the time.
    pub(crate) fn is_reader(&self) -> bool {
        self.reader.is_some_and(|place| place < READERS)
    }

    /// Tells whether the member is among the first followers of the platform's values, or has
    /// no rank.
    pub(crate) fn can_probe(&self) -> bool {
        self.follower.is_none_or(|place| place < SUBSTITUTES)
    }

    /// Tells whether the member marks complete views.
    pub(crate) fn is_completion_writer(&self) -> bool {
        self.marker == Some(0)
    }

    /// Returns after how long without news of the list of upstreams the member follows it, as a
    /// part of an upstream's notice in hundredths.
    pub(crate) fn watch_delay_percent(&self) -> u32 {
        match self.follower {
            Some(0..FOLLOWERS) => 0,
            Some(FOLLOWERS..SUBSTITUTES) => SUBSTITUTES_AFTER,
            _ => ALL_AFTER,
        }
    }
}
