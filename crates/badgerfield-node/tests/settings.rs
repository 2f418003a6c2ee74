//! Settings and template files: valid ones are read, and all faults of a file are reported at once,
//! each with its line, section and key.

use std::path::Path;
use std::time::Duration;

use assert_matches::assert_matches;
use badgerfield_core::rollout::RolloutBound;
use badgerfield_core::warm_up::WarmUpBound;
use badgerfield_node::ini_file::{IniError, IniFile};
use badgerfield_node::memory::Kilobytes;
use badgerfield_node::settings::Settings;
use badgerfield_node::templates;

const VALID: &str = "[vm]
name = vm-1
region = north
domain = d1
[listen]
callers = 127.0.0.1:1
peers = 127.0.0.1:2
operators = 127.0.0.1:3
[platform]
kv = http://127.0.0.1:4
vm_list = http://127.0.0.1:5/
[keys]
fleet = 6f3d1c0f8a5b4e7d9c2a1b0e6f5d4c3b2a1908f7e6d5c4b3a29180f7e6d5c4b3
";

fn read(text: &str) -> Result<Settings, IniError> {
    Settings::from_ini(IniFile::parse(Path::new("vm.ini"), text.to_owned())?)
}

fn faults(result: Result<impl std::fmt::Debug, IniError>) -> Vec<String> {
    match result {
        Err(IniError::Faulty(faults)) => faults.iter().map(ToString::to_string).collect(),
        other => panic!("expected faults, found {other:?}"),
    }
}

/// Fails if settings with the required keys alone are refused.
#[test]
fn good_file_is_read() {
    assert_matches!(read(VALID), Ok(settings) if settings.vm.as_str() == "vm-1");
}

/// Fails if a fault hides another one or has no position: operators would have to correct a file
/// one fault at a time.
#[test]
fn every_fault_is_listed_with_its_line() {
    let text = VALID
        .replace("region = north", "region = no rth")
        .replace("http://127.0.0.1:4", "ftp://127.0.0.1:4")
        .replace("peers = 127.0.0.1:2\n", "")
        + "[limits]\nsilence = 5\nbody = 3\ncolour = red\n[extra]\n";
    let faults = faults(read(&text));
    for position in
        ["vm.ini:3: [vm] region", "vm.ini:9: [platform] kv", "[listen] peers", "[limits] silence"]
    {
        assert!(faults.iter().any(|fault| fault.contains(position)), "{position} in {faults:#?}");
    }
    for position in ["[limits] body", "[limits] colour", "[extra]"] {
        assert!(faults.iter().any(|fault| fault.contains(position)), "{position} in {faults:#?}");
    }
    assert_eq!(faults.len(), 7, "{faults:#?}");
}

/// Fails if a template file with faults is accepted, even in part, or if one of its faults is not
/// listed.
#[test]
fn template_file_with_faults_is_refused_whole() {
    let text = "[account a]\npriority = many\nmodels = m\n[budget a/b]\nlimit = -3\nkeys = 12\n[budget c/d]\nlimit = 5\n";
    let file = IniFile::parse(Path::new("t.ini"), text.to_owned()).expect("the text is INI");
    let faults = faults(templates::from_ini(file));
    for position in [
        "t.ini:2: [account a] priority",
        "t.ini:5: [budget a/b] limit",
        "t.ini:6: [budget a/b] keys",
    ] {
        assert!(faults.iter().any(|fault| fault.contains(position)), "{position} in {faults:#?}");
    }
    assert!(
        faults.iter().any(|fault| fault.contains("no template for its account")),
        "{faults:#?}"
    );
}

/// Fails if an optional section or value is ignored.
#[test]
fn gateway_and_pacing_are_read() {
    let text = VALID.replace("vm_list = http://127.0.0.1:5/", "adapter = platform")
        + "[gateway]\nrequests = 127.0.0.1:6\nready = 127.0.0.1:7\ngrace = 8s\n\
           [pacing]\nahead = 11s\nseals = true\n[retries]\nratio = 0.2\nallowance = 52\n";
    let settings = read(&text).expect("the settings are valid");
    let gateway = settings.gateway.expect("the section is present");
    assert_eq!(gateway.request_address.port(), 6);
    assert_eq!(gateway.directory_address, None);
    assert_eq!(settings.platform.vm_list, None);
    assert!(settings.pacing.seal_holdings);
    assert_eq!(settings.pacing.hold_ahead, std::time::Duration::from_secs(11));
}

/// Fails if an invalid value in an optional section counts as absent.
#[test]
fn faults_of_gateway_and_pacing_are_listed() {
    let text = VALID.replace("vm_list = http://127.0.0.1:5/", "adapter = cloud")
        + "[gateway]\nrequests = here\nready = 127.0.0.1:7\n[pacing]\nseals = perhaps\n";
    let found = faults(read(&text)).join("\n");
    for expected in ["expected etcd or platform", "requests", "seals"] {
        assert!(found.contains(expected), "{expected:?} in {found}");
    }
}

/// Fails if a bound on requests to cold upstreams is not read, or if empty values set one.
#[test]
fn warm_up_bound_is_read_or_absent() {
    let bound = |text: &str| read(&format!("{VALID}{text}")).map(|settings| settings.warm_up);
    let both = bound("[warm_up]\novershoot = 1.5\nallowance = 5\n").expect("the file is valid");
    assert_matches!(both, Some(bound) if bound.overshoot > 1.4 && bound.extra_requests > 4.9);
    // A settings file made from a template contains an empty value where the platform sets none.
    let empty = bound("[warm_up]\novershoot = \nallowance = \n").expect("the file is valid");
    assert_eq!(empty, None);
    assert_eq!(bound("").expect("the file is valid"), None);
    let faults = faults(bound("[warm_up]\novershoot = much\nallowance = 5\n"));
    assert!(faults.iter().any(|fault| fault.contains("[warm_up] overshoot")), "{faults:#?}");
}

/// Fails if an invalid or incomplete bound on requests to cold upstreams counts as absent.
#[test]
fn invalid_warm_up_bound_is_a_fault() {
    let read = |text: &str| read(&format!("{VALID}[warm_up]\n{text}"));
    for text in ["overshoot = nan\nallowance = 5\n", "overshoot = 1.5\nallowance = -2\n"] {
        let faults = faults(read(text));
        assert!(faults.iter().any(|fault| fault.contains("[warm_up]")), "{text}: {faults:#?}");
    }
    let bound =
        |text: &str| read(text).expect("the file is valid").warm_up.expect("the bound is set");
    assert_eq!(bound("overshoot = 1.5\n"), WarmUpBound { overshoot: 1.5, extra_requests: 0.0 });
    assert_eq!(bound("allowance = 5\n"), WarmUpBound { overshoot: 1.0, extra_requests: 5.0 });
}

/// Fails if empty values of the rollout bound are faults or replace the defaults, or if an invalid
/// value is accepted.
#[test]
fn absent_rollout_bound_takes_the_defaults() {
    let bound = |text: &str| read(&format!("{VALID}{text}")).map(|read| read.pacing.rollout);
    let given = bound("[rollout]\nshare = 0.07\nallowance = 50\nrollback = 4000ms\n");
    let given = given.expect("the file is valid");
    assert_eq!((u64::from(given.share), given.extra_requests), (7, 50));
    assert_eq!(given.rollback_time, Duration::from_secs(4));
    // A settings file made from a template contains a unit without a number where the platform sets
    // no duration.
    let blank =
        bound("[rollout]\nshare =\nallowance =\nrollback = ms\n").expect("the file is valid");
    assert_eq!(blank, RolloutBound::default());
    assert_eq!(bound("").expect("the file is valid"), RolloutBound::default());
    for text in ["share = 1.5", "share = few", "allowance = -1", "rollback = 5", "rollback = 0s"] {
        let faults = faults(bound(&format!("[rollout]\n{text}\n")));
        assert!(faults.iter().any(|fault| fault.contains("[rollout]")), "{text}: {faults:#?}");
    }
}

/// Fails if the advertised address is ignored, or does not default to the listen address for peers.
#[test]
fn advertised_address_may_differ_from_the_listen_address() {
    let text = VALID.replace("operators", "advertise = 10.0.0.1:2\noperators");
    let settings = read(&text).expect("the settings are valid");
    assert_eq!(settings.advertised_address.to_string(), "10.0.0.1:2");
    assert_eq!(settings.peer_address.to_string(), "127.0.0.1:2");
    let plain = read(VALID).expect("the settings are valid");
    assert_eq!(plain.advertised_address, plain.peer_address);
}

/// Fails if the region of a failure domain is read wrongly: requests would be served in a region
/// where they are not allowed.
#[test]
fn domains_and_their_regions_are_read_and_their_faults_are_listed() {
    let read = |text: &str| read(&format!("{VALID}{text}")).map(|settings| settings.regions);
    let regions = read("[regions]\nd1 = north\nd2 = south\n").expect("the file is valid");
    let name = |text: &str| text.parse().expect("a name");
    let region_of = |domain: &str| regions.region(&name(domain)).map(ToString::to_string);
    assert_eq!(region_of("d1").as_deref(), Some("north"));
    assert_eq!(region_of("d2").as_deref(), Some("south"));
    assert_eq!(region_of("d3"), None);
    // The domain of the VM itself is always included.
    let with_own_domain = read("").expect("the file is valid");
    assert!(with_own_domain.has_region(&"north".parse().expect("a name")));
    for (invalid, position) in [
        ("d1 = south\n", "vm.ini:15: [regions] d1: expected one region"),
        ("d2 = \n", "vm.ini:15: [regions] d2: expected an identifier"),
        ("d2 = so uth\n", "vm.ini:15: [regions] d2"),
        ("d 2 = south\n", "vm.ini:15: [regions] d 2"),
        ("d2 = south\nd2 = east\n", "[regions] d2: expected one region"),
    ] {
        let found = faults(read(&format!("[regions]\n{invalid}")));
        assert!(found.iter().any(|fault| fault.contains(position)), "{invalid:?}: {found:#?}");
    }
}

/// Fails if an empty list of regions is accepted: it would either allow all regions or refuse every
/// request.
#[test]
fn regions_of_an_account_are_read_and_an_empty_list_is_a_fault() {
    let read = |line: &str| {
        let text = format!("[account a]\nmodels = m\n{line}");
        templates::from_ini(IniFile::parse(Path::new("t.ini"), text).expect("the text is INI"))
    };
    let regions = |line: &str| {
        let set = read(line).expect("the file is valid");
        set.accounts.values().map(|account| account.regions.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(regions(""), ["everywhere"]);
    assert_eq!(regions("regions = north, south\n"), ["north,south"]);
    for invalid in ["regions =\n", "regions = no rth\n"] {
        let found = faults(read(invalid));
        assert!(found.iter().any(|fault| fault.contains("[account a] regions")), "{found:#?}");
    }
}

/// Fails if a distance cost is accepted that is negative, not a number, too large or has no unit.
#[test]
fn distance_costs_are_read_within_bounds() {
    let read = |text: &str| read(&format!("{VALID}{text}")).map(|settings| settings.locality);
    let text = "[locality]\ndomain_trip = 3ms\nregion_price = 2.5\n";
    let locality = read(text).expect("the file is valid");
    assert_eq!(locality.domain_round_trip, std::time::Duration::from_millis(3));
    assert!((locality.region_price - 2.5).abs() < 1e-9);
    for invalid in
        ["region_trip = 24", "region_trip = 60s", "domain_price = -1", "region_price = NaN"]
    {
        let found = faults(read(&format!("[locality]\n{invalid}\n")));
        assert!(found.iter().any(|fault| fault.contains("[locality]")), "{invalid}: {found:#?}");
    }
}

/// Guards against a process that does not warn before the platform ends it for its memory, since its
/// limit was not read.
#[test]
fn the_memory_limit_is_read() {
    let with_memory =
        |memory: &str| VALID.replace("domain = d1", &format!("domain = d1\nmemory = {memory}"));
    let limit = |text: &str| read(text).expect("the settings are valid").memory_limit;
    assert_eq!(limit(VALID), None);
    assert_eq!(limit(&with_memory("")), None);
    assert_eq!(limit(&with_memory("160.0")), Some(Kilobytes(156_250)));
    for invalid in ["much", "0", "-1"] {
        let found = faults(read(&with_memory(invalid)));
        assert!(found.iter().any(|fault| fault.contains("size in MB")), "{invalid}: {found:?}");
    }
}

/// Guards against a VM of unknown capacity that does the work of large ones, and against a bandwidth
/// that is read wrongly without a fault.
#[test]
fn the_bandwidth_of_the_link_is_read() {
    assert_eq!(read(VALID).expect("the settings are valid").link_mbps, 0);
    let with_link =
        |link: &str| VALID.replace("domain = d1", &format!("domain = d1\nlink = {link}"));
    assert_eq!(read(&with_link("200.0")).expect("the settings are valid").link_mbps, 200);
    let found = faults(read(&with_link("wide")));
    assert!(found.iter().any(|fault| fault.contains("bandwidth in Mbit/s")), "{found:?}");
}
