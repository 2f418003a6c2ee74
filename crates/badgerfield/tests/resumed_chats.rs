//! Chats whose engine breaks their stream off, on the chat API of the VMs.

use std::path::{Path, PathBuf};

use anyhow::Result;
use badgerfield_standin::site::Site;
use serde_json::json;

/// The number of events after which the engine breaks a stream off.
const PART: u64 = 3;

fn program_directory() -> PathBuf {
    let program = Path::new(env!("CARGO_BIN_EXE_badgerfield"));
    program.parent().map(Path::to_owned).unwrap_or_default()
}

/// Guards against a chat that ends as complete after a part, because its engine answers the request
/// to resume it with something else than the rest of its stream.
#[tokio::test]
async fn chat_that_its_engine_does_not_resume_is_visibly_cut() -> Result<()> {
    let mut unseen = Vec::new();
    for status in [200, 202, 204, 206, 400, 410, 500, 502] {
        let site = Site::start_with_engines(&program_directory(), (1, 1), 100_000, 200).await?;
        let admin = site.engine_admins[0];
        assert!(site.send_chat(0, None, "whole", 20).await.streamed_text().is_some());
        site.set_faults(admin, &json!({ "break_after": PART, "resume_status": status })).await;
        let answer = site.send_chat(0, None, "a part", 20).await;
        unseen.extend(answer.streamed_text().map(|text| (status, text)));
    }
    assert!(unseen.is_empty(), "{unseen:?}");
    Ok(())
}

/// Guards against a chat that is cut though its engine sends the rest.
#[tokio::test]
async fn chat_that_its_engine_resumes_is_whole() -> Result<()> {
    let site = Site::start_with_engines(&program_directory(), (1, 1), 100_000, 200).await?;
    let whole = site.send_chat(0, None, "the same prompt", 5).await.streamed_text();
    site.set_faults(site.engine_admins[0], &json!({ "break_after": PART })).await;
    let resumed = site.send_chat(0, None, "the same prompt", 5).await.streamed_text();
    assert!(whole.is_some() && whole == resumed, "{whole:?} {resumed:?}");
    Ok(())
}

/// Guards against a whole chat that is cut because its engine ends lines in another way.
#[tokio::test]
async fn chat_with_carriage_returns_is_whole() -> Result<()> {
    let site = Site::start_with_engines(&program_directory(), (1, 1), 100_000, 200).await?;
    let whole = site.send_chat(0, None, "the same prompt", 5).await.streamed_text();
    site.set_faults(site.engine_admins[0], &json!({ "carriage_returns": true })).await;
    let other = site.send_chat(0, None, "the same prompt", 5).await;
    assert!(whole.is_some() && whole == other.streamed_text(), "{whole:?} {other:?}");
    Ok(())
}
