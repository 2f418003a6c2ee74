//! Finds the route and the caller of a request in the templates in force.
//!
//! A refusal because the templates lack something is final for callers. It is given only while the
//! templates are known to be current. If a newer version is known to exist, the request waits for it
//! for a moment; otherwise its caller is asked to come back.

use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::TICK_INTERVAL;
use badgerfield_core::ids::{Account, TemplateVersion};
use badgerfield_core::refusal::{Cause, Refusal};
use badgerfield_core::residency::{Residency, ResidencyError};
use badgerfield_core::routing::{Caller, Route, RouteTable};
use badgerfield_core::template::KeyDigest;

use crate::adapter::RequestHeaders;
use crate::driver::Driver;
use crate::gateway::exchange::RETRY_DELAY;
use crate::gateway::request_log;
use crate::gateway::state::{Gateway, RouteSnapshot};

/// The maximum time for which a request waits for templates that are known to exist.
const MAX_TEMPLATE_WAIT: Duration = Duration::from_secs(1);
/// The delay after which a caller should come back to a VM whose templates may not be current: the
/// time within which changes reach all VMs.
const UNCONFIRMED_RETRY_DELAY: Duration = Duration::from_secs(1);

/// What is known of a request before its route is found.
#[derive(Debug)]
pub(super) struct RouteLookup<'a> {
    pub(super) id: &'a str,
    pub(super) host: &'a str,
    pub(super) path: &'a str,
    pub(super) headers: &'a RequestHeaders,
}

/// The route of a request and its caller, with the templates that allow it.
#[derive(Debug)]
pub(super) struct FoundRoute {
    pub(super) in_force: RouteSnapshot,
    pub(super) route: Arc<Route>,
    pub(super) caller: Option<Caller>,
    /// The regions in which the request may be served.
    pub(super) residency: Residency,
}

impl RouteLookup<'_> {
    /// Returns the route and the caller of the request.
    ///
    /// # Errors
    ///
    /// Returns a final refusal if the templates are current and do not allow the request, and asks
    /// the caller to come back if they may not be current.
    pub(super) async fn run(
        &self,
        driver: &Driver,
        gateway: &Gateway,
    ) -> Result<FoundRoute, Refusal> {
        let in_force = gateway.routes();
        let version = in_force.version;
        let refusal = match self.find(gateway, in_force) {
            Ok(found) => return Ok(found),
            Err(refusal) => refusal,
        };
        wait_for_newer_templates(driver, version).await;
        let in_force = gateway.routes();
        let refusal = if in_force.version == version {
            refusal
        } else {
            match self.find(gateway, in_force) {
                Ok(found) => return Ok(found),
                Err(refusal) => refusal,
            }
        };
        Err(self.confirm_refusal(driver, refusal))
    }

    fn find(&self, gateway: &Gateway, in_force: RouteSnapshot) -> Result<FoundRoute, Refusal> {
        let table = &in_force.table;
        let route = table.route(self.host, self.path);
        let route = Arc::clone(route.ok_or(Refusal::not_run(Cause::NoRoute))?);
        let caller = find_caller(table, &route, self.headers).map_err(Refusal::not_run)?;
        let account = caller.as_ref().map(|caller| &caller.account);
        let residency = self.check_residency(gateway, &in_force, &route, account)?;
        Ok(FoundRoute { in_force, route, caller, residency })
    }

    /// Returns the regions in which a request may be served, or the refusal if there are none.
    ///
    /// A restriction that leaves no region holds until operators change it, so the caller is not
    /// asked to retry. A region without a known failure domain may be part of the next settings.
    fn check_residency(
        &self,
        gateway: &Gateway,
        in_force: &RouteSnapshot,
        route: &Route,
        account: Option<&Account>,
    ) -> Result<Residency, Refusal> {
        let residency = in_force.table.residency(route, account);
        let checked = residency.check(gateway.upstreams().regions());
        checked.map_err(|fault| {
            request_log::outside(self.id, &route.name, &fault, in_force.version);
            match fault {
                ResidencyError::NoRegion => Refusal::not_run(Cause::NoRegionAllowed),
                ResidencyError::Unknown(_) => {
                    Refusal::not_run(Cause::RegionUnknown).with_retry_after(RETRY_DELAY)
                }
            }
        })?;
        Ok(residency)
    }

    /// Returns a refusal as it is, unless it is final and the templates may not be current.
    fn confirm_refusal(&self, driver: &Driver, refusal: Refusal) -> Refusal {
        if refusal.retry_after.is_some() {
            return refusal;
        }
        let now = driver.now();
        request_log::unknown(self.id, refusal.cause, &driver.node.template_status(now));
        if driver.node.has_current_templates(now) {
            return refusal;
        }
        Refusal::not_run(Cause::NotConfirmed).with_retry_after(UNCONFIRMED_RETRY_DELAY)
    }
}

/// Waits until templates are in force that are newer than a version, if such are known to exist.
async fn wait_for_newer_templates(driver: &Driver, version: TemplateVersion) {
    let deadline = driver.now().after(MAX_TEMPLATE_WAIT);
    loop {
        let now = driver.now();
        let status = driver.node.template_status(now);
        let is_missing = status.version == version && status.missing_for.is_some();
        if !is_missing || now >= deadline {
            return;
        }
        driver.clock.sleep(TICK_INTERVAL).await;
    }
}

fn find_caller(
    table: &RouteTable,
    route: &Route,
    headers: &RequestHeaders,
) -> Result<Option<Caller>, Cause> {
    if route.anonymous {
        return Ok(None);
    }
    let key = headers.key.as_ref().ok_or(Cause::UnknownCaller)?;
    let caller = table.caller(&KeyDigest::from_secret(key)).ok_or(Cause::UnknownCaller)?;
    Ok(Some(caller.clone()))
}
