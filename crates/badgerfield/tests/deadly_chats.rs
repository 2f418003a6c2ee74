//! A chat that ends every engine which works on it, on the product's own interface.
//!
//! A chat that broke off was resumed at its engine, which had ended, and then sent to the next: up to
//! four engines under one request, and four more when its caller came back at another VM. Requests on routes are held
//! to account for the ends of their upstreams; those on this interface were not: six of six engines of
//! the test ended, and nobody else was served.

use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Result;
use badgerfield_standin::site::Site;
use serde_json::json;
use tokio::time::sleep;

/// What ends an engine.
const DEADLY: &str = "deadly prompt";
/// How long a caller takes to come back.
const PAUSE: Duration = Duration::from_millis(300);
/// The engines that may end under one chat.
const MOST: usize = 2;

fn programs() -> PathBuf {
    let own = Path::new(env!("CARGO_BIN_EXE_badgerfield"));
    own.parent().map(Path::to_owned).unwrap_or_default()
}

#[tokio::test]
async fn a_chat_that_ends_engines_reaches_few_of_them() -> Result<()> {
    let site = Site::start_with_engines(&programs(), (3, 6), 100_000, 200).await?;
    for admin in &site.engine_admins {
        site.faults(*admin, &json!({ "ends_under": DEADLY })).await;
    }
    for n in 0..9 {
        let answer = site.chat(n % 3, None, DEADLY, 20).await;
        assert!(answer.streamed().is_none(), "{answer:?}");
        sleep(PAUSE).await;
    }
    assert_eq!(site.ended_engines().await, MOST);
    // Whoever asks again is told that it has not run, and all others are served.
    for vm in 0..3 {
        let answer = site.chat(vm, None, DEADLY, 20).await;
        assert_eq!(answer.status, 503, "{answer:?}");
        let error = &answer.json()["error"];
        assert_eq!(error["type"], json!("ends_upstreams"), "{answer:?}");
        assert_eq!(error["outcome"], json!("not_run"), "{answer:?}");
        let answer = site.chat(vm, None, "harmless", 20).await;
        assert!(answer.streamed().is_some(), "{answer:?}");
    }
    Ok(())
}
