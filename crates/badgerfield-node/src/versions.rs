//! Keeps what is known of the versions at which streams can have begun: reports it to the core,
//! and asks a member while this process lacks something.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::amount::Time;
use badgerfield_core::event::{StoreCall, StoreKey, StoreResult};
use badgerfield_core::ids::{Service, VersionTag};
use badgerfield_core::version_record::{self, KnownVersions, OpenVersions, ServiceVersions};
use serde::{Deserialize, Serialize};

use crate::driver::Driver;
use crate::gateway::directory;
use crate::gateway::forward::PeerCall;
use crate::gateway::state::Gateway;
use crate::logs::NODE;
use crate::peers::calls::{CallError, CallStream, read_frame, write_frame};
use crate::store_calls::CallKind;

/// The interval of reports, and the time between two questions to members.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The same while this process cannot begin streams, or only at some versions.
const SHORT_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// How long after its start a process that knows the record still waits until streams can begin at
/// all services, before it serves other requests.
const MAX_CLOSED_START: Duration = Duration::from_secs(3);
/// The maximum time for which the answer of a member is awaited.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// The answer of a member: the versions that it knows, if there are no others.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct VersionAnswer {
    versions: Option<ServiceVersions>,
    /// The versions that may begin streams, if it knows the record.
    open: Option<OpenVersions>,
}

impl Driver {
    /// Reports the versions that this process knows from the list, and asks a member if there may
    /// be others, or others may begin streams. Returns the time until the next report.
    pub(crate) fn report_versions(self: &Arc<Self>) -> Duration {
        let Some(gateway) = self.gateway().cloned() else {
            return REPORT_INTERVAL;
        };
        // Without routes it is not known for how long streams can be resumed.
        let has_list = gateway.upstreams().last_update().0 > 0;
        if gateway.routes().version.0 == 0 || !has_list {
            return Duration::ZERO;
        }
        let (now, lifetime) = (self.now(), gateway.stream_lifetime());
        let known = {
            let mut upstreams = gateway.upstreams();
            upstreams.drop_past_versions(now, lifetime);
            upstreams.all_known_versions(now, lifetime)
        };
        if now >= Time::default().after(MAX_CLOSED_START)
            && gateway.upstreams().open_versions().is_some()
        {
            gateway.record_open_versions();
        }
        self.copy_streams(&known);
        let is_closed = !known.to_open.is_empty() || gateway.upstreams().open_versions().is_none();
        let must_ask = !known.is_complete || is_closed;
        self.handle_event(Event::KnownVersions(known));
        if must_ask {
            tokio::spawn(ask_member(Arc::clone(self)));
        }
        if is_closed { SHORT_REPORT_INTERVAL } else { REPORT_INTERVAL }
    }

    /// Sends copies of the records of streams whose services have got a second version.
    fn copy_streams(self: &Arc<Self>, known: &KnownVersions) {
        let several = known.versions.values().filter(|versions| versions.len() > 1);
        let versions: BTreeSet<VersionTag> = several.flatten().copied().collect();
        if !versions.is_empty() {
            self.handle_event(Event::StreamsNeedCopies(versions));
        }
    }

    /// Reads the record anew. Returns the version of a service if the record names only one: all
    /// streams that have begun there before the call have begun at it.
    pub(crate) async fn read_only_version(
        self: &Arc<Self>,
        service: &Service,
    ) -> Option<VersionTag> {
        let requested_at = self.now();
        let call = StoreCall::GetCurrent(StoreKey::Versions);
        self.metrics.store_calls.count(CallKind::of(&call));
        let StoreResult::Value(found) = self.store.call(&call).await else {
            return None;
        };
        let versions = match version_record::decode(found.value.as_deref()) {
            Ok(versions) => versions,
            Err(error) => {
                log::error!(target: NODE, "the record of versions cannot be read: {error}");
                return None;
            }
        };
        let only = version_record::only_version(&versions, service);
        self.apply_versions(requested_at, &versions, "store");
        self.apply_open_versions(OpenVersions { revision: found.revision, versions });
        only
    }

    /// Applies the versions that may begin streams.
    pub(crate) fn apply_open_versions(self: &Arc<Self>, open: OpenVersions) {
        if let Some(gateway) = self.gateway() {
            let now = self.now();
            gateway.upstreams().set_open_versions(now, open);
            if gateway.can_begin_streams() {
                return;
            }
            if gateway.upstreams().can_begin_streams(now) {
                gateway.record_open_versions();
                self.handle_event(Event::Serving(directory::is_ready(gateway)));
            } else {
                // The versions to open follow from the record.
                gateway.record_closed_version();
            }
        }
    }

    /// Applies the versions that the store or a member knew at a time.
    pub(crate) fn apply_versions(&self, known_at: Time, versions: &ServiceVersions, from: &str) {
        let Some(gateway) = self.gateway() else {
            return;
        };
        let is_complete = gateway.upstreams().apply_versions(self.now(), known_at, versions);
        let count: usize = versions.values().map(std::collections::BTreeSet::len).sum();
        log::info!(target: NODE, "versions known count={count} from={from} complete={is_complete}");
    }
}

/// Asks a random member.
async fn ask_member(driver: Arc<Driver>) {
    let asked_at = driver.now();
    let mut members = driver.node.available_members(asked_at);
    members.retain(|member| member.incarnation != driver.node.id());
    if members.is_empty() {
        return;
    }
    let member = members.swap_remove(rand::random_range(0..members.len()));
    let call = async {
        let mut stream = driver.peers().call(member.incarnation, member.peer).await?;
        write_frame(&mut stream.send, &PeerCall::Versions).await?;
        read_frame::<VersionAnswer>(&mut stream.receive, MAX_ANSWER_BYTES).await
    };
    match tokio::time::timeout(ANSWER_TIMEOUT, call).await {
        Ok(Ok(VersionAnswer { versions, open })) => {
            if let Some(open) = open {
                driver.apply_open_versions(open);
            }
            if let Some(versions) = versions {
                driver.apply_versions(asked_at, &versions, &member.incarnation.to_string());
            }
        }
        Err(_) => {}
        Ok(Err(error)) => {
            log::debug!(target: NODE, "member {} not asked: {error}", member.incarnation);
        }
    }
}

/// Answers a member that asks for the versions.
pub(crate) async fn answer(
    driver: &Driver,
    gateway: &Gateway,
    stream: CallStream,
) -> Result<(), CallError> {
    let (now, lifetime) = (driver.now(), gateway.stream_lifetime());
    let known = gateway.upstreams().all_known_versions(now, lifetime);
    let is_conclusive = known.is_conclusive() && gateway.routes().version.0 > 0;
    let versions = is_conclusive.then_some(known.versions);
    let open = gateway.upstreams().open_versions().cloned();
    stream.answer(&VersionAnswer { versions, open }).await
}
