//! What the operators' commands share: the platform's values, and the VMs' state.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use badgerfield_core::event::{StoreCall, StoreKey, StoreResult, Versioned};
use badgerfield_core::template::TemplateSet;
use badgerfield_node::adapter::KeyValueStore;
use badgerfield_node::etcd::EtcdStore;
use badgerfield_node::settings::Settings;
use clap::ArgMatches;

/// How often an unanswered read is tried.
const TRIES: u32 = 5;
/// How long to wait between two tries.
const PAUSE: Duration = Duration::from_millis(300);

/// A connection to the platform.
pub(crate) struct Platform {
    pub(crate) kv: EtcdStore,
    pub(crate) settings: Settings,
}

impl Platform {
    pub(crate) fn open(args: &ArgMatches) -> Result<Self> {
        let path: &PathBuf = args.get_one("settings").expect("the argument is required");
        let settings = Settings::load(path)?;
        let platform = &settings.platform;
        let kv =
            EtcdStore::new(platform.store_uri.clone(), platform.prefix.clone(), platform.timeout);
        Ok(Self { kv, settings })
    }

    /// Reads a value, trying again while the service does not answer.
    pub(crate) async fn get(&self, name: StoreKey) -> Result<Versioned> {
        for _ in 0..TRIES {
            if let StoreResult::Value(found) = self.kv.call(&StoreCall::Get(name.clone())).await {
                return Ok(found);
            }
            tokio::time::sleep(PAUSE).await;
        }
        bail!("the key-value service at {} does not answer", self.settings.platform.store_uri)
    }

    /// Reads the templates with their revision.
    pub(crate) async fn templates(&self) -> Result<(TemplateSet, u64)> {
        let found = self.get(StoreKey::Templates).await?;
        let Some(bytes) = &found.value else {
            return Ok((TemplateSet::default(), found.revision));
        };
        let set = TemplateSet::decode(bytes).context("the platform's value of the templates")?;
        Ok((set, found.revision))
    }
}

/// Runs a command that talks to the platform.
pub(crate) fn block_on<T>(work: impl Future<Output = Result<T>>) -> Result<T> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(work)
}
