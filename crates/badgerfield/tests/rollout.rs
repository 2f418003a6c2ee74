//! `badgerfield rollout` with a stand-in of the store.

use std::path::PathBuf;
use std::process::Output;
use std::time::Duration;

use badgerfield_platform_standin::store::Store;
use serde_json::{Value, json};
use tokio::process::Command;

/// Writes a settings file with the address of the store.
fn write_settings(store: &Store) -> PathBuf {
    let port = store.address.port();
    let program = PathBuf::from(env!("CARGO_BIN_EXE_badgerfield"));
    let path = program.with_file_name(format!("rollout-test-{port}.ini"));
    let text = format!(
        "[vm]\nname = a\nregion = r\ndomain = z\n\
         [listen]\ncallers = 127.0.0.1:1\npeers = 127.0.0.1:2\noperators = 127.0.0.1:3\n\
         [platform]\nadapter = platform\nkv = http://{}\n\
         [keys]\nfleet = 6f3d1c0f8a5b4e7d9c2a1b0e6f5d4c3b2a1908f7e6d5c4b3a29180f7e6d5c4b3\n",
        store.address
    );
    std::fs::write(&path, text).expect("the directory is writable");
    path
}

async fn run_command(store: &Store, args: &[&str]) -> Output {
    let path = write_settings(store);
    let mut command = Command::new(env!("CARGO_BIN_EXE_badgerfield"));
    command.arg("rollout").args(args).arg("-s").arg(&path);
    let output = command.output().await.expect("the program starts");
    std::fs::remove_file(path).expect("the file exists");
    output
}

fn parse_lines(output: &Output) -> Vec<Value> {
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.lines().map(|line| serde_json::from_str(line).expect("a line of JSON")).collect()
}

fn put_order(store: &Store, service: &str) -> u64 {
    let key = format!("op/rollout/{service}");
    let order = json!({ "Service": service, "TargetVersion": "v2", "DurationS": 30 });
    store.put(&key, &order);
    store.revision_of(&key)
}

fn put_record(store: &Store, service: &str, order: u64, state: &str) {
    let progress = json!({ "state": state, "target": "v2", "order": order, "reason": "ordered" });
    let record = json!({ "State": state, "TargetVersion": "v2", "Progress": progress });
    store.put(&format!("status/rollout/{service}"), &record);
}

/// Fails if `status` omits a service with an order, or prints the record of another service.
#[tokio::test(flavor = "multi_thread")]
async fn status_prints_orders_with_their_records() {
    let store = Store::start().await.expect("the store starts");
    assert!(parse_lines(&run_command(&store, &["status"]).await).is_empty());
    let order = put_order(&store, "pool");
    put_order(&store, "other");
    put_record(&store, "pool", order, "in_progress");
    let printed = parse_lines(&run_command(&store, &["status"]).await);
    let [other, pool] = printed.as_slice() else { panic!("two lines: {printed:?}") };
    assert_eq!((&other["service"], &other["record"]), (&json!("other"), &Value::Null));
    assert_eq!(pool["order"]["span_s"], 30.0);
    assert_eq!(pool["record"]["state"], "in_progress");
    let selected = parse_lines(&run_command(&store, &["status", "pool"]).await);
    assert_eq!(selected, vec![pool.clone()]);
}

/// Fails if `watch` misses a change, or does not report a rollback by its exit code.
#[tokio::test(flavor = "multi_thread")]
async fn watch_exits_with_the_outcome_of_the_rollout() {
    let store = Store::start().await.expect("the store starts");
    let order = put_order(&store, "pool");
    put_record(&store, "pool", order, "in_progress");
    let later = store.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(1300)).await;
        put_record(&later, "pool", order, "rolled_back");
    });
    let output = run_command(&store, &["watch", "pool"]).await;
    let states: Vec<_> =
        parse_lines(&output).iter().map(|l| l["record"]["state"].clone()).collect();
    assert_eq!(states, ["in_progress", "rolled_back"]);
    assert_eq!(output.status.code(), Some(6));
}

/// Fails if `watch` takes the final record of an earlier order for that of the newest order.
#[tokio::test(flavor = "multi_thread")]
async fn final_record_of_an_earlier_order_does_not_end_watch() {
    let store = Store::start().await.expect("the store starts");
    let first = put_order(&store, "pool");
    put_record(&store, "pool", first, "rolled_back");
    let next = put_order(&store, "pool");
    let later = store.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(1300)).await;
        put_record(&later, "pool", next, "completed");
    });
    let output = run_command(&store, &["watch"]).await;
    assert_eq!(parse_lines(&output).len(), 2, "{output:?}");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

/// Fails if an invalid record is printed as absent.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_record_is_reported() {
    let store = Store::start().await.expect("the store starts");
    put_order(&store, "pool");
    store.put("status/rollout/pool", &json!({ "State": "completed", "TargetVersion": "v2" }));
    let output = run_command(&store, &["status"]).await;
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{error}");
    assert!(error.contains("the record of pool"), "{error}");
}
