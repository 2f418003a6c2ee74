//! Which members have handed over every claim that a view makes them hand over.
//!
//! A member confirms a view once everything that it had to hand over has been acknowledged;
//! one that remembers no claims does so at once, without a message of its own. Confirmations
//! travel with signs of life as one bit a member and are merged on the way, so that everybody
//! learns of all of them within a few beats, whatever the size of the fleet. They only ever
//! grow within a view, and a view's number names its members, so that losing, repeating or
//! reordering them does no harm.

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, Incarnation};
use crate::view::View;

/// How many members one byte of a bitmap stands for.
const PER_BYTE: usize = 8;

/// What a sign of life says about confirmations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationReport {
    /// The newest epoch that all its members have confirmed.
    pub complete: Epoch,
    /// Who has confirmed the sender's epoch: a bit for each member in the view's order. It is
    /// empty when all have.
    pub bits: Vec<u8>,
}

/// The members that have confirmed the view in force, as far as this process knows.
#[derive(Debug, Default)]
pub(crate) struct Confirmations {
    bits: Vec<u8>,
    members: usize,
    missing: usize,
}

impl Confirmations {
    /// Starts anew for a view that nobody has confirmed.
    pub(crate) fn new(view: &View) -> Self {
        let members = view.members.len();
        Self { bits: vec![0; members.div_ceil(PER_BYTE)], members, missing: members }
    }

    /// Tells whether every member has confirmed.
    pub(crate) fn is_complete(&self) -> bool {
        self.missing == 0 && self.members > 0
    }

    /// Notes that a member has confirmed.
    pub(crate) fn confirm(&mut self, view: &View, id: Incarnation) {
        let Some(place) = view.members.iter().position(|m| m.incarnation == id) else {
            return;
        };
        if let Some(byte) = self.bits.get_mut(place / PER_BYTE) {
            *byte |= 1 << (place % PER_BYTE);
        }
        self.count();
    }

    /// Notes that all members have confirmed.
    pub(crate) fn confirm_all(&mut self) {
        self.bits.fill(u8::MAX);
        self.missing = 0;
    }

    /// Merges what another process knows of the same view; tells whether any of it is news.
    pub(crate) fn merge(&mut self, bits: &[u8]) -> bool {
        if bits.len() != self.bits.len() {
            return false;
        }
        for (mine, theirs) in self.bits.iter_mut().zip(bits) {
            *mine |= theirs;
        }
        let before = self.missing;
        self.count();
        self.missing < before
    }

    /// Returns the bits for a sign of life; none when all members have confirmed.
    pub(crate) fn bits(&self) -> Vec<u8> {
        if self.missing == 0 { Vec::new() } else { self.bits.clone() }
    }

    /// Counts who is missing; bits beyond the last member do not count.
    fn count(&mut self) {
        let is_set = |place: &usize| {
            let byte = self.bits.get(place / PER_BYTE).copied().unwrap_or_default();
            byte & (1 << (place % PER_BYTE)) != 0
        };
        self.missing = self.members - (0..self.members).filter(is_set).count();
    }
}
