//! An engine that refuses chats and announces a back-off, on the chat API of the VMs.

use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Result;
use badgerfield_standin::site::Site;
use serde_json::json;
use tokio::time::sleep;

fn program_directory() -> PathBuf {
    let program = Path::new(env!("CARGO_BIN_EXE_badgerfield"));
    program.parent().map(Path::to_owned).unwrap_or_default()
}

/// Fails if a VM sends a chat to an engine during the back-off that the engine has announced, or
/// refuses chats after it.
#[tokio::test]
async fn engine_gets_no_chat_during_its_back_off() -> Result<()> {
    let site = Site::start_with_engines(&program_directory(), (1, 1), 100_000, 200).await?;
    let admin = site.engine_admins[0];
    assert!(site.chat(0, None, "first", 20).await.streamed().is_some());
    site.faults(admin, &json!({ "busy": true, "rest": 4 })).await;
    assert_eq!(site.chat(0, None, "turned away", 20).await.status, 503);
    site.faults(admin, &json!({})).await;
    for _ in 0..3 {
        sleep(Duration::from_secs(1)).await;
        let refused = site.chat(0, None, "held back", 20).await;
        assert_eq!(refused.status, 503, "{refused:?}");
        assert_eq!(refused.json()["error"]["outcome"], json!("not_run"), "{refused:?}");
    }
    sleep(Duration::from_millis(1500)).await;
    assert!(site.chat(0, None, "after the rest", 20).await.streamed().is_some());
    Ok(())
}
