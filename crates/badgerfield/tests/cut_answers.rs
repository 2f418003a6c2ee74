//! Answers of plain services that are cut, on the interface of the VMs for callers.

mod support;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::Result;
use badgerfield_standin::site::Site;
use futures::future::join_all;

use support::{Options, PlainUpstream, RawAnswer, call, close_then_exit_path};

/// An address with a port that the system chooses.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// How often, and at what interval, a service without a usable upstream is called.
const MAX_CALLS: usize = 30;
const CALL_INTERVAL: Duration = Duration::from_millis(500);
/// The number of calls that are made at the same time.
const CONCURRENT_CALLS: usize = 8;
/// The maximum time of a call that is answered at once. Without a witness it takes some 10 ms.
const MAX_CALL_TIME: Duration = Duration::from_secs(1);
/// The maximum time of the fastest of some calls that are answered at once by a whole document.
const MAX_DOCUMENT_TIME: Duration = Duration::from_millis(500);
/// Longer than a witness is kept after the last answer that used it.
const WITNESS_EXPIRY: Duration = Duration::from_secs(6);
/// How long after the end of its answer a process that ends is gone.
const EXIT_DELAYS: [Duration; 4] = [
    Duration::from_millis(5),
    Duration::from_millis(20),
    Duration::from_millis(100),
    Duration::from_millis(400),
];

fn program_directory() -> PathBuf {
    let program = Path::new(env!("CARGO_BIN_EXE_badgerfield"));
    program.parent().map(Path::to_owned).unwrap_or_default()
}

/// Starts a site with one VM whose plain service is a scripted upstream.
async fn start(options: Options) -> Result<(Site, PlainUpstream)> {
    let upstream = PlainUpstream::start(ANY_PORT, options).await?;
    let site = Site::start_with_service(&program_directory(), upstream.address).await?;
    Ok((site, upstream))
}

/// Calls the service until its only upstream is used again after a failure.
async fn call_rested(vm: SocketAddr, path: &str) -> Result<RawAnswer> {
    for _ in 0..MAX_CALLS {
        let answer = call(vm, path).await?;
        if answer.status != 503 {
            return Ok(answer);
        }
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    anyhow::bail!("the upstream is not used again")
}

/// Fails if the part of an answer whose upstream breaks it off ends as if it were whole, or holds
/// bytes that are no part of it.
#[tokio::test]
async fn cut_answer_of_a_service_does_not_look_whole() -> Result<()> {
    let (site, _upstream) = start(Options::Answered).await?;
    for path in ["/cut-length", "/cut-chunks"] {
        let answer = call_rested(site.caller_address(0), path).await?;
        assert!(!answer.is_whole, "{path}: {answer:?}");
        assert!("part of it".starts_with(&answer.body), "{path}: {answer:?}");
    }
    let whole = call_rested(site.caller_address(0), "/status-200").await?;
    assert!(whole.is_whole && whole.body == "ok", "{whole:?}");
    Ok(())
}

/// Fails if a caller gets a status that ends no response as an answer.
#[tokio::test]
async fn status_that_is_none_is_no_answer() -> Result<()> {
    let (site, _upstream) = start(Options::Answered).await?;
    for path in ["/status-101", "/status-600", "/status-999"] {
        let answer = call_rested(site.caller_address(0), path).await?;
        assert!(answer.is_whole && answer.status == 502, "{path}: {answer:?}");
    }
    Ok(())
}

/// Fails if the part of an answer without a length looks whole after its upstream has ended,
/// whether nothing listens at its address afterwards or another process does.
#[tokio::test]
async fn answer_of_an_upstream_that_ended_does_not_look_whole() -> Result<()> {
    for (is_warm, has_successor) in [(false, false), (false, true), (true, false), (true, true)] {
        let case = format!("witness before: {is_warm}, successor: {has_successor}");
        let (site, upstream) = start(Options::Answered).await?;
        let vm = site.caller_address(0);
        if is_warm {
            assert!(call(vm, "/unframed").await?.is_whole, "{case}");
        }
        let answer = if has_successor {
            let successor = upstream.start_successor(Options::Answered);
            let (answer, _successor) = tokio::try_join!(call(vm, "/unframed-exit"), successor)?;
            answer
        } else {
            call(vm, "/unframed-exit").await?
        };
        assert_eq!((answer.status, answer.is_whole), (200, false), "{case}: {answer:?}");
    }
    Ok(())
}

/// Calls services whose upstream closes its answer and exits some time later. Returns the cases
/// whose part of an answer looked whole.
async fn find_parts_taken_for_whole(options: Options) -> Result<Vec<String>> {
    let mut found = Vec::new();
    for delay in EXIT_DELAYS {
        for (is_warm, is_deaf) in [(false, false), (false, true), (true, false), (true, true)] {
            let case = format!("{delay:?}, witness before: {is_warm}, listener first: {is_deaf}");
            let (site, _upstream) = start(options).await?;
            let vm = site.caller_address(0);
            if is_warm {
                assert!(call(vm, "/unframed").await?.is_whole, "{case}");
            }
            let answer = call(vm, &close_then_exit_path("unframed", delay, is_deaf)).await?;
            assert_eq!((answer.status, answer.body.as_str()), (200, "first "), "{case}");
            if answer.is_whole {
                found.push(case);
            }
        }
    }
    Ok(found)
}

/// Guards against parts of answers that look whole because their upstream closed them some time
/// before it was gone.
#[tokio::test]
async fn answer_that_is_closed_before_its_upstream_exits_does_not_look_whole() -> Result<()> {
    let found = find_parts_taken_for_whole(Options::Answered).await?;
    assert!(found.is_empty(), "{found:#?}");
    Ok(())
}

/// Guards against the same at an upstream that rejects the question of the witness.
#[tokio::test]
async fn answer_that_is_closed_before_a_rejecting_upstream_exits_does_not_look_whole() -> Result<()>
{
    let found = find_parts_taken_for_whole(Options::Rejected).await?;
    assert!(found.is_empty(), "{found:#?}");
    Ok(())
}

/// Guards against parts of answers that look whole because another process that shares the listener
/// answers for the one that has ended.
#[tokio::test]
async fn answer_of_a_worker_that_ended_does_not_look_whole() -> Result<()> {
    let upstream = PlainUpstream::start_pair(ANY_PORT, Options::Answered).await?;
    let site = Site::start_with_service(&program_directory(), upstream.address).await?;
    let answer = call(site.caller_address(0), "/unframed-exit").await?;
    assert_eq!((answer.status, answer.is_whole), (200, false), "{answer:?}");
    Ok(())
}

/// Guards against parts of answers that look whole because the checks for others, which end at the
/// same time, ended the wait for their upstream to outlive them.
#[tokio::test]
async fn answers_that_a_rejecting_upstream_closes_together_do_not_look_whole() -> Result<()> {
    for delay in [Duration::from_millis(100), Duration::from_millis(400)] {
        let (site, _upstream) = start(Options::Rejected).await?;
        let vm = site.caller_address(0);
        assert!(call(vm, "/unframed").await?.is_whole);
        let path = close_then_exit_path("unframed", delay, false);
        let answers = join_all((0..CONCURRENT_CALLS).map(|_| call(vm, &path))).await;
        let answers = answers.into_iter().collect::<Result<Vec<_>>>()?;
        let taken_for_whole = answers.iter().filter(|a| a.is_whole && a.status == 200).count();
        assert_eq!(taken_for_whole, 0, "{delay:?}: {answers:?}");
    }
    Ok(())
}

/// Guards against whole answers that are cut because others of the same upstream, which closes the
/// connections of witnesses, end at the same time.
#[tokio::test]
async fn answers_that_end_together_at_a_rejecting_upstream_stay_whole() -> Result<()> {
    let (site, _upstream) = start(Options::Rejected).await?;
    let vm = site.caller_address(0);
    assert!(call(vm, "/unframed").await?.is_whole);
    let calls = (0..CONCURRENT_CALLS).map(|_| call(vm, "/unframed-at-once"));
    let answers = join_all(calls).await.into_iter().collect::<Result<Vec<_>>>()?;
    let whole = answers.iter().filter(|answer| answer.is_whole && answer.status == 200).count();
    assert_eq!(whole, CONCURRENT_CALLS, "{answers:?}");
    Ok(())
}

/// Guards against a part of a JSON document, or one of several, that is taken for a whole answer.
#[tokio::test]
async fn part_of_a_json_answer_does_not_look_whole() -> Result<()> {
    for answer in ["json-part", "json-row"] {
        for delay in EXIT_DELAYS {
            let (site, _upstream) = start(Options::Answered).await?;
            let vm = site.caller_address(0);
            assert!(call(vm, "/json").await?.is_whole, "{answer} {delay:?}");
            let part = call(vm, &close_then_exit_path(answer, delay, false)).await?;
            assert_eq!((part.status, part.is_whole), (200, false), "{delay:?}: {part:?}");
        }
    }
    Ok(())
}

/// Guards against whole JSON documents that wait for their upstream to outlive them.
#[tokio::test]
async fn whole_json_answers_are_not_held_back() -> Result<()> {
    for options in [Options::Answered, Options::Rejected, Options::RejectedInTurn] {
        let (site, _upstream) = start(options).await?;
        let vm = site.caller_address(0);
        let first = call(vm, "/json").await?;
        assert!(first.is_whole, "{options:?}: {first:?}");
        assert_eq!(first.body, "{\"text\": \"]}\", \"list\": []}\n", "{options:?}");
        let mut fastest = Duration::MAX;
        for _ in 0..5 {
            let started = Instant::now();
            let answer = call(vm, "/json-at-once").await?;
            fastest = fastest.min(started.elapsed());
            assert!(answer.is_whole && answer.body == "[{}]", "{options:?}: {answer:?}");
        }
        assert!(fastest < MAX_DOCUMENT_TIME, "{options:?}: {fastest:?}");
    }
    Ok(())
}

/// Fails if an answer without a length of an upstream that runs on is cut.
#[tokio::test]
async fn answer_without_a_length_of_a_running_upstream_stays_whole() -> Result<()> {
    for options in [Options::Answered, Options::Rejected, Options::RejectedUnannounced] {
        let (site, _upstream) = start(options).await?;
        let vm = site.caller_address(0);
        for path in ["/unframed", "/unframed-at-once", "/unframed-at-once", "/unframed"] {
            let answer = call(vm, path).await?;
            let expected = if path == "/unframed" { "first second" } else { "all of it" };
            assert!(answer.is_whole, "{options:?} {path}: {answer:?}");
            assert_eq!(answer.body, expected, "{options:?} {path}");
        }
    }
    Ok(())
}

/// Fails if answers without a length that end at once are cut again and again because their calls
/// come seldom.
#[tokio::test]
async fn rare_answers_that_end_at_once_stay_whole() -> Result<()> {
    let (site, _upstream) = start(Options::Answered).await?;
    let vm = site.caller_address(0);
    // The first one of an upstream may be unproved.
    call(vm, "/unframed-at-once").await?;
    for call_number in 0..2 {
        tokio::time::sleep(WITNESS_EXPIRY).await;
        let answer = call(vm, "/unframed-at-once").await?;
        assert!(answer.is_whole, "call {call_number}: {answer:?}");
    }
    Ok(())
}

/// Fails if answers with a length cost connections or checks.
#[tokio::test]
async fn answers_with_a_length_cost_no_checks() -> Result<()> {
    let (site, upstream) = start(Options::Answered).await?;
    for _ in 0..10 {
        assert!(call(site.caller_address(0), "/status-200").await?.is_whole);
    }
    assert_eq!(upstream.counts(), (1, 0), "connections and checks");
    Ok(())
}

/// Fails if the witness of a service that serves one connection at a time keeps calls waiting.
#[tokio::test]
async fn witness_keeps_no_calls_of_a_serial_service_waiting() -> Result<()> {
    let (site, _upstream) = start(Options::RejectedInTurn).await?;
    let vm = site.caller_address(0);
    call(vm, "/unframed-at-once").await?;
    tokio::time::sleep(WITNESS_EXPIRY).await;
    for call_number in 0..3 {
        let started = Instant::now();
        let answer = call(vm, "/unframed-at-once").await?;
        let took = started.elapsed();
        assert!(answer.is_whole, "call {call_number}: {answer:?} after {took:?}");
        assert!(took < MAX_CALL_TIME, "call {call_number} took {took:?}");
    }
    Ok(())
}
