//! A poison chat, under which every engine crashes, on the chat API of the VMs.

use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Result;
use badgerfield_standin::site::Site;
use serde_json::json;
use tokio::time::sleep;

/// The prompt under which an engine crashes.
const POISON_PROMPT: &str = "deadly prompt";
/// The delay before a caller sends the chat again.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// The maximum number of engines that may crash under one chat.
const MAX_CRASHES: usize = 2;

fn program_directory() -> PathBuf {
    let program = Path::new(env!("CARGO_BIN_EXE_badgerfield"));
    program.parent().map(Path::to_owned).unwrap_or_default()
}

/// Fails if a poison chat crashes more than two engines, or if other chats are refused.
///
/// A VM tried to resume the interrupted chat at its engine, which had crashed, and then sent it to
/// the next engine. Up to four engines crashed under one request, and four more when the caller
/// sent it to another VM. Crashes were attributed to requests on routes, but not to chats on this
/// API. All six engines of the test crashed, and no other chat was served.
#[tokio::test]
async fn poison_chat_crashes_at_most_two_engines() -> Result<()> {
    let site = Site::start_with_engines(&program_directory(), (3, 6), 100_000, 200).await?;
    for admin in &site.engine_admins {
        site.faults(*admin, &json!({ "ends_under": POISON_PROMPT })).await;
    }
    for n in 0..9 {
        let answer = site.chat(n % 3, None, POISON_PROMPT, 20).await;
        assert!(answer.streamed().is_none(), "{answer:?}");
        sleep(RETRY_DELAY).await;
    }
    assert_eq!(site.ended_engines().await, MAX_CRASHES);
    // The chat is then refused as not run, and other chats are served.
    for vm in 0..3 {
        let answer = site.chat(vm, None, POISON_PROMPT, 20).await;
        assert_eq!(answer.status, 503, "{answer:?}");
        let error = &answer.json()["error"];
        assert_eq!(error["type"], json!("ends_upstreams"), "{answer:?}");
        assert_eq!(error["outcome"], json!("not_run"), "{answer:?}");
        let answer = site.chat(vm, None, "harmless", 20).await;
        assert!(answer.streamed().is_some(), "{answer:?}");
    }
    Ok(())
}
