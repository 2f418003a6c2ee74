//! Follows what the platform says: the templates, and the list of upstreams.

use std::sync::Arc;
use std::time::{Duration, Instant};

use badgerfield_core::Event;
use badgerfield_core::event::{KvCall, KvName, KvResult};

use crate::adapter::Watched;
use crate::driver::Driver;
use crate::gateway::directory;
use crate::gateway::state::Gateway;
use crate::logs::PLATFORM;

/// How long a failed watch rests.
const WATCH_PAUSE: Duration = Duration::from_millis(200);

/// Follows the templates: every change comes by a watch, and a read goes beside it.
pub(crate) async fn templates(driver: Arc<Driver>) {
    let mut after = 0;
    loop {
        if after == 0 {
            let call = KvCall::Get(KvName::Templates);
            if let KvResult::Value(found) = driver.store.call(&call).await {
                after = found.revision;
                driver.feed(Event::Templates(found));
            }
            if after == 0 {
                tokio::time::sleep(WATCH_PAUSE).await;
                continue;
            }
        }
        match driver.store.watch_templates(after).await {
            Watched::Changed(found) => {
                after = after.max(found.revision);
                driver.feed(Event::Templates(found));
            }
            Watched::Quiet(revision) => after = after.max(revision),
            Watched::Lost => {
                after = 0;
                tokio::time::sleep(WATCH_PAUSE).await;
            }
        }
    }
}

/// Follows the list of upstreams, and tells peers whether this process can serve.
pub(crate) async fn upstreams(driver: Arc<Driver>, gateway: Arc<Gateway>) {
    let every = driver.settings.platform.replicas_poll;
    let mut away: Option<Instant> = None;
    loop {
        let mut after = None;
        match gateway.adapter.discovery.list().await {
            Ok(list) => {
                if let Some(since) = away.take() {
                    let away = since.elapsed().as_millis();
                    log::info!(target: PLATFORM, "list of upstreams regained away_ms={away}");
                }
                let now = driver.now();
                let revision = list.revision;
                after = Some(revision);
                let changed = gateway.replicas().learn(now, list);
                for id in changed {
                    log::info!(target: PLATFORM, "upstream changed id={id} list={revision}");
                }
            }
            Err(error) => {
                if away.is_none() {
                    log::warn!(target: PLATFORM, "list of upstreams lost: {error}");
                    away = Some(Instant::now());
                }
            }
        }
        gateway.sweep(driver.now());
        driver.feed(Event::Serving(directory::is_ready(&gateway)));
        let Some(revision) = after else {
            tokio::time::sleep(WATCH_PAUSE).await;
            continue;
        };
        // A watch brings changes at once; a read goes beside it, since a watch may
        // hear nothing for a while.
        let watched = gateway.adapter.discovery.watch(revision);
        match tokio::time::timeout(every, watched).await {
            Ok(Watched::Lost) => tokio::time::sleep(WATCH_PAUSE).await,
            Ok(Watched::Changed(()) | Watched::Quiet(_)) | Err(_) => {}
        }
    }
}
