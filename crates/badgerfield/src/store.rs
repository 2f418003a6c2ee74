//! Access to the store for the operators' commands.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use badgerfield_core::event::{StoreCall, StoreKey, StoreResult, Versioned};
use badgerfield_core::template::TemplateSet;
use badgerfield_node::adapter::KeyValueStore;
use badgerfield_node::etcd::EtcdStore;
use badgerfield_node::settings::Settings;
use clap::ArgMatches;

/// The maximum number of attempts of a read.
const MAX_ATTEMPTS: u32 = 5;
/// The delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// A connection to the store, with the settings that it was opened from.
pub(crate) struct StoreConnection {
    pub(crate) store: EtcdStore,
    pub(crate) settings: Settings,
}

impl StoreConnection {
    pub(crate) fn open(args: &ArgMatches) -> Result<Self> {
        let path: &PathBuf = args.get_one("settings").expect("the argument is required");
        let settings = Settings::load(path)?;
        let platform = &settings.platform;
        let store =
            EtcdStore::new(platform.store_uri.clone(), platform.prefix.clone(), platform.timeout);
        Ok(Self { store, settings })
    }

    /// Reads a value, with retries while the store does not answer.
    pub(crate) async fn get(&self, key: StoreKey) -> Result<Versioned> {
        for _ in 0..MAX_ATTEMPTS {
            if let StoreResult::Value(found) = self.store.call(&StoreCall::Get(key.clone())).await {
                return Ok(found);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        bail!("the store at {} does not answer", self.settings.platform.store_uri)
    }

    /// Reads the templates and their revision.
    pub(crate) async fn templates(&self) -> Result<(TemplateSet, u64)> {
        let found = self.get(StoreKey::Templates).await?;
        let Some(bytes) = &found.value else {
            return Ok((TemplateSet::default(), found.revision));
        };
        let set = TemplateSet::decode(bytes).context("invalid templates in the store")?;
        Ok((set, found.revision))
    }
}

/// Runs a command that calls the store.
pub(crate) fn block_on<T>(command: impl Future<Output = Result<T>>) -> Result<T> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(command)
}
