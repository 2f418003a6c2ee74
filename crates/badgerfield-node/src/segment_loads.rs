//! Reads records of streams' beginnings from the store, when a stream is to be resumed that this
//! process knows nothing of.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::amount::Time;
use badgerfield_core::stream_segments::StreamShard;
use tokio::sync::watch;

use crate::driver::Driver;
use crate::logs::NODE;
use crate::sync::lock;

/// The minimum time between two reads of a shard. Streams that a process asks for have usually begun
/// before the processes started that are asked.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// The minimum time between a read that failed and the next one.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// The state of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LoadState {
    Pending,
    Done,
    Failed,
}

/// The last read of a shard.
#[derive(Debug, Clone)]
struct Load {
    started_at: Time,
    state: watch::Receiver<LoadState>,
}

/// The last read of each shard.
#[derive(Debug, Default)]
pub(crate) struct SegmentLoads {
    loads: Mutex<HashMap<StreamShard, Load>>,
}

impl Driver {
    /// Reads the records of a shard from the store, unless they were read lately. Returns whether
    /// they are known.
    pub(crate) async fn load_segments(self: &Arc<Self>, shard: StreamShard) -> bool {
        let mut state = self.start_load(shard);
        let state = match state.wait_for(|state| *state != LoadState::Pending).await {
            Ok(state) => *state,
            // The read ended without a result, because the process does.
            Err(_) => LoadState::Failed,
        };
        state == LoadState::Done
    }

    /// Starts a read of a shard, unless one is pending or has just succeeded.
    fn start_load(self: &Arc<Self>, shard: StreamShard) -> watch::Receiver<LoadState> {
        let now = self.now();
        let mut loads = lock(&self.segment_loads.loads);
        if let Some(load) = loads.get(&shard) {
            let interval = match *load.state.borrow() {
                LoadState::Pending => Duration::MAX,
                LoadState::Done => RELOAD_INTERVAL,
                LoadState::Failed => RETRY_INTERVAL,
            };
            if now.since(load.started_at) < interval {
                return load.state.clone();
            }
        }
        let (sender, receiver) = watch::channel(LoadState::Pending);
        loads.insert(shard, Load { started_at: now, state: receiver.clone() });
        let driver = Arc::clone(self);
        tokio::spawn(async move {
            let state = driver.read_segments(shard).await;
            // Nobody may be waiting any more.
            let _ = sender.send(state);
        });
        receiver
    }

    async fn read_segments(self: &Arc<Self>, shard: StreamShard) -> LoadState {
        let started = self.now();
        self.metrics.store_calls.count(crate::store_calls::CallKind::StreamsRead);
        let found = self.store.list_segments(shard).await;
        let took = self.now().since(started);
        let count = found.as_ref().map_or(0, Vec::len);
        let outcome = if found.is_some() { "read" } else { "failed" };
        log::info!(
            target: NODE,
            "streams shard={shard} outcome={outcome} segments={count} took_ms={}",
            took.as_millis()
        );
        let Some(found) = found else {
            return LoadState::Failed;
        };
        self.handle_event(Event::StreamSegments(shard, found));
        LoadState::Done
    }
}
