//! The peers that have places at the upstreams of brittle services.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::{Incarnation, Region, Service};
use badgerfield_core::residency::Residency;
use badgerfield_core::warm_up::Senders;

use crate::driver::Driver;
use crate::gateway::state::Gateway;
use crate::sync::lock;

/// How long the peers of a service are used before they are looked up again.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(300);
/// The maximum number of peers that a VM asks for places, which bounds its connections.
const MAX_HOLDERS: usize = 12;
/// How long a peer that had no place is not asked.
const FULL_SPAN: Duration = Duration::from_millis(60);
/// How long a peer that could not be reached is not asked.
const UNREACHABLE_SPAN: Duration = Duration::from_secs(2);

/// The peers that have places, as of the last time they were looked up.
#[derive(Debug, Default)]
pub(crate) struct PlaceHolders {
    services: Mutex<BTreeMap<Service, Holders>>,
}

#[derive(Debug, Default)]
struct Holders {
    looked_up: Option<Time>,
    /// One entry for each upstream at which a peer has places.
    entries: Vec<PlaceHolder>,
    /// Until when peers are not asked.
    avoided: BTreeMap<Incarnation, Time>,
}

/// A peer that has places.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PlaceHolder {
    pub(crate) id: Incarnation,
    pub(crate) address: SocketAddr,
    region: Region,
}

impl PlaceHolders {
    /// Returns a peer that may have a place for a request, or `None` if all of them were full a
    /// moment ago.
    pub(crate) fn choose(
        &self,
        (driver, gateway): (&Driver, &Gateway),
        service: &Service,
        residency: &Residency,
        random: u64,
    ) -> Option<PlaceHolder> {
        let now = driver.now();
        let is_due = {
            let services = lock(&self.services);
            let looked_up = services.get(service).and_then(|known| known.looked_up);
            looked_up.is_none_or(|at| now.since(at) >= LOOKUP_INTERVAL)
        };
        let found = is_due.then(|| look_up(driver, gateway, service, now));
        let mut services = lock(&self.services);
        let known = services.entry(service.clone()).or_default();
        if let Some(entries) = found {
            known.entries = entries;
            known.looked_up = Some(now);
            known.avoided.retain(|_, until| *until > now);
        }
        known.choose(now, residency, &driver.settings.region, random)
    }

    /// Records that a peer had no place, or could not be reached.
    pub(crate) fn record_unavailable(
        &self,
        now: Time,
        service: &Service,
        peer: Incarnation,
        is_reached: bool,
    ) {
        let span = if is_reached { FULL_SPAN } else { UNREACHABLE_SPAN };
        if let Some(known) = lock(&self.services).get_mut(service) {
            known.avoided.insert(peer, now.after(span));
        }
    }
}

impl Holders {
    /// Returns a peer, by chance in proportion to the upstreams at which it has places; those of
    /// the own region first.
    fn choose(
        &self,
        now: Time,
        residency: &Residency,
        own: &Region,
        random: u64,
    ) -> Option<PlaceHolder> {
        let is_avoided =
            |holder: &&PlaceHolder| self.avoided.get(&holder.id).is_some_and(|until| *until > now);
        let allowed: Vec<_> = self
            .entries
            .iter()
            .filter(|holder| !is_avoided(holder))
            .filter(|holder| !residency.is_restricted() || residency.allows(Some(&holder.region)))
            .collect();
        let near: Vec<_> = allowed.iter().copied().filter(|holder| holder.region == *own).collect();
        let pool = if near.is_empty() { allowed } else { near };
        let count = u64::try_from(pool.len()).ok().filter(|count| *count > 0)?;
        let index = usize::try_from(random % count).ok()?;
        pool.get(index).map(|holder| (*holder).clone())
    }
}

/// Looks up the peers that have places and that are available.
fn look_up(driver: &Driver, gateway: &Gateway, service: &Service, now: Time) -> Vec<PlaceHolder> {
    let hashes = gateway.upstreams().place_holders(now, service);
    let cut_off = driver.node.cut_off_members(now);
    let members: BTreeMap<u64, PlaceHolder> = driver
        .node
        .available_members(now)
        .into_iter()
        .filter(|member| !cut_off.contains(&member.incarnation))
        .map(|member| {
            let (id, address) = (member.incarnation, member.peer);
            (Senders::hash(&member.vm), PlaceHolder { id, address, region: member.region })
        })
        .collect();
    let mut entries = Vec::new();
    let mut distinct = Vec::new();
    for hash in hashes {
        let Some(holder) = members.get(&hash) else {
            continue;
        };
        if !distinct.contains(&holder.id) {
            if distinct.len() >= MAX_HOLDERS {
                continue;
            }
            distinct.push(holder.id);
        }
        entries.push(holder.clone());
    }
    entries
}
