//! What is held against a request at which upstreams have ended.

use std::time::Duration;

use assert_matches::assert_matches;
use badgerfield_core::amount::Time;
use badgerfield_core::ids::{Account, UpstreamId};
use badgerfield_core::poison::{Crash, Fingerprint, PoisonStatus, PoisonTable};
use badgerfield_core::upstream_table::PromptPart;

const NOW: Time = Time::from_millis(60_000);

fn account(name: &str) -> Account {
    name.parse().expect("the name is valid")
}

fn upstream(n: u32) -> UpstreamId {
    format!("i-{n}").parse().expect("the name is valid")
}

fn request(body: &str) -> Fingerprint {
    let parts = [PromptPart { id: 1, tokens: 80 }];
    Fingerprint::of(Some(&account("a")), "POST", ("host", "/x"), &parts, body.as_bytes())
}

fn crash(body: &str, n: u32, point: u64) -> Crash {
    Crash::new(request(body), Some(&account("a")), &upstream(n), point)
}

fn is_blocked(table: &PoisonTable, now: Time, body: &str) -> bool {
    matches!(table.status(now, request(body)), PoisonStatus::Blocked { .. })
}

#[test]
fn the_same_request_is_known_whoever_passes_it_on() {
    let parts = [PromptPart { id: 1, tokens: 80 }];
    let of = |name: &str, path: &str, body: &str| {
        Fingerprint::of(Some(&account(name)), "POST", ("host", path), &parts, body.as_bytes())
    };
    assert_eq!(of("a", "/x", "body"), of("a", "/x", "body"));
    for other in [of("b", "/x", "body"), of("a", "/y", "body"), of("a", "/x", "other")] {
        assert_ne!(of("a", "/x", "body"), other);
    }
    // A field does not run into the next.
    assert_ne!(of("a", "/x", "yz"), of("a", "/xy", "z"));
    let text = of("a", "/x", "body").to_string();
    assert_eq!(text.parse(), Ok(of("a", "/x", "body")));
    assert!("zz".parse::<Fingerprint>().is_err());
    assert!(format!("+{}", &text[1..]).parse::<Fingerprint>().is_err());
}

#[test]
fn one_crash_makes_a_suspect_and_two_at_one_point_block() {
    let mut table = PoisonTable::default();
    assert_eq!(table.status(NOW, request("q")), PoisonStatus::Clear);
    table.apply(NOW, vec![crash("q", 1, 0)]);
    assert_matches!(table.status(NOW, request("q")), PoisonStatus::Suspect { .. });
    // The same crash, told again, is no second one.
    assert!(table.apply(NOW, vec![crash("q", 1, 0)]).is_empty());
    let news = table.apply(NOW, vec![crash("q", 2, 3)]);
    assert_matches!(news.as_slice(), [(_, true)]);
    let later = NOW.after(Duration::from_secs(10));
    assert_matches!(
        table.status(later, request("q")),
        PoisonStatus::Blocked { upstreams, age, remaining: left }
            if upstreams == [upstream(1), upstream(2)]
                && age == Duration::from_secs(10)
                && left == Duration::from_secs(590)
    );
}

#[test]
fn an_upstream_that_is_back_and_ends_again_counts_again() {
    let mut table = PoisonTable::default();
    assert_eq!(table.crash_count(request("q"), &upstream(1)), 0);
    table.apply(NOW, vec![crash("q", 1, 0)]);
    assert_eq!(table.crash_count(request("q"), &upstream(1)), 1);
    assert_eq!(table.crash_count(request("q"), &upstream(2)), 0);
    // Whoever was there as well, and had not heard of it, saw the same end.
    assert!(table.apply(NOW, vec![crash("q", 1, 2)]).is_empty());
    let news = table.apply(NOW, vec![crash("q", 1, 0).with_prior_crashes(1)]);
    assert_matches!(news.as_slice(), [(_, true)]);
}

#[test]
fn an_end_after_one_that_was_cleared_counts() {
    let mut table = PoisonTable::default();
    table.apply(NOW, vec![crash("q", 1, 0)]);
    table.record_served(NOW, request("q"));
    table.apply(NOW, vec![crash("q", 1, 0).with_prior_crashes(1)]);
    assert_matches!(table.status(NOW, request("q")), PoisonStatus::Suspect { .. });
    // Of two processes that heard in another order, both believe the same.
    let mut other = PoisonTable::default();
    other.apply(NOW, vec![crash("q", 1, 0).with_prior_crashes(1)]);
    other.apply(NOW, vec![Crash { cleared: true, ..crash("q", 1, 0) }]);
    assert_eq!(table.crashes_of(NOW, request("q")).len(), 2);
    assert_eq!(other.crashes_of(NOW, request("q")).len(), 2);
}

#[test]
fn upstreams_that_only_cannot_be_reached_weigh_half() {
    let mut table = PoisonTable::default();
    table.apply(NOW, (1..4).map(|n| crash("q", n, 0).unconfirmed()).collect());
    assert_matches!(table.status(NOW, request("q")), PoisonStatus::Suspect { .. });
    let later = NOW.after(Duration::from_secs(5));
    let news = table.apply(later, vec![crash("q", 4, 0).unconfirmed()]);
    assert_matches!(news.as_slice(), [(_, true)]);
    // A cut way may have been the cause, and is mended soon.
    let left = Duration::from_secs(55);
    assert_matches!(table.status(later, request("q")), PoisonStatus::Blocked { remaining: l, .. } if l == left);
    assert!(!is_blocked(&table, later.after(left), "q"));
}

#[test]
fn who_is_certain_of_an_end_says_more_than_who_is_not() {
    let all = [crash("q", 1, 0).unconfirmed(), crash("q", 1, 0), crash("q", 2, 0).unconfirmed()];
    let all = all.into_iter().chain([crash("q", 2, 0)]).collect::<Vec<_>>();
    let (mut one, mut two) = (PoisonTable::default(), PoisonTable::default());
    one.apply(NOW, all.clone());
    two.apply(NOW, all.into_iter().rev().collect());
    assert!(is_blocked(&one, NOW, "q") && is_blocked(&two, NOW, "q"));
    assert_eq!(one.digest(NOW), two.digest(NOW));
    assert!(is_blocked(&one, NOW.after(Duration::from_secs(500)), "q"));
}

#[test]
fn a_stream_in_full_flow_is_a_lesser_suspect() {
    let mut table = PoisonTable::default();
    table.apply(NOW, vec![crash("q", 1, 0), crash("r", 1, 50)]);
    assert_eq!(table.status(NOW, request("q")), PoisonStatus::Suspect { early: true });
    assert_eq!(table.status(NOW, request("r")), PoisonStatus::Suspect { early: false });
}

#[test]
fn a_stream_that_came_on_between_two_crashes_is_not_blocked_by_them() {
    let mut table = PoisonTable::default();
    table.apply(NOW, vec![crash("q", 1, 20), crash("q", 2, 60)]);
    assert_matches!(table.status(NOW, request("q")), PoisonStatus::Suspect { .. });
    // A third is one too many, wherever the stream was.
    table.apply(NOW, vec![crash("q", 3, 100)]);
    assert!(is_blocked(&table, NOW, "q"));
}

#[test]
fn a_request_that_is_served_whole_had_no_part_in_it() {
    let mut table = PoisonTable::default();
    table.apply(NOW, vec![crash("q", 1, 0)]);
    let cleared = table.record_served(NOW, request("q"));
    assert_eq!(cleared.len(), 1);
    assert_eq!(table.status(NOW, request("q")), PoisonStatus::Clear);
    // Older word of the crash does not bring it back, and another crash is the first.
    table.apply(NOW, vec![crash("q", 1, 0), crash("q", 2, 0)]);
    assert_matches!(table.status(NOW, request("q")), PoisonStatus::Suspect { .. });
}

#[test]
fn the_order_of_news_does_not_matter() {
    let cleared = Crash { cleared: true, ..crash("q", 3, 0) };
    let all = [crash("q", 1, 0), crash("q", 3, 0), cleared, crash("q", 2, 1), crash("r", 2, 0)];
    let mut digests = Vec::new();
    for turn in 0..all.len() {
        let mut table = PoisonTable::default();
        for n in 0..all.len() {
            table.apply(NOW, vec![all[(n * 2 + turn) % all.len()].clone()]);
        }
        assert!(is_blocked(&table, NOW, "q"));
        digests.push(table.digest(NOW));
    }
    assert!(digests.iter().all(|digest| *digest == digests[0] && *digest != 0), "{digests:?}");
}

#[test]
fn of_many_crashes_all_processes_remember_the_same() {
    let all: Vec<_> = (0..40).map(|n| crash("q", n, 0)).collect();
    let (mut one, mut two) = (PoisonTable::default(), PoisonTable::default());
    one.apply(NOW, all.clone());
    two.apply(NOW, all.into_iter().rev().collect());
    assert_eq!(one.digest(NOW), two.digest(NOW));
    assert_eq!(one.blocked_crashes(NOW).len(), 8);
}

#[test]
fn two_tables_that_tell_each_other_all_believe_the_same() {
    let (mut one, mut two) = (PoisonTable::default(), PoisonTable::default());
    one.apply(NOW, vec![crash("q", 1, 0), crash("q", 2, 0)]);
    two.apply(NOW, vec![crash("r", 1, 0), crash("r", 2, 0), crash("q", 1, 0)]);
    two.record_served(NOW, request("q"));
    assert_ne!(one.digest(NOW), two.digest(NOW));
    let theirs = one.blocked_crashes(NOW);
    two.apply(NOW, theirs.clone());
    one.apply(NOW, two.missing_from(NOW, &theirs));
    assert_eq!(one.digest(NOW), two.digest(NOW));
    assert!(is_blocked(&one, NOW, "r"));
    assert!(!is_blocked(&one, NOW, "q"), "it was served whole at the other");
    assert!(
        two.missing_from(NOW, &one.blocked_crashes(NOW)).iter().all(|c| c.request == request("q"))
    );
}

#[test]
fn a_block_ends_after_a_while_and_is_not_told_on_at_its_end() {
    let mut table = PoisonTable::default();
    table.apply(NOW, vec![crash("q", 1, 0), crash("q", 2, 0)]);
    let late = NOW.after(Duration::from_secs(597));
    assert!(is_blocked(&table, late, "q"));
    assert!(table.blocked_crashes(late).is_empty(), "nobody else is told");
    let end = NOW.after(Duration::from_secs(601));
    assert_eq!(table.status(end, request("q")), PoisonStatus::Clear);
    table.sweep(end);
    assert!(table.is_empty());
    // What is as old as that is no news.
    let old = Crash { age: Duration::from_secs(601), ..crash("q", 1, 0) };
    assert!(table.apply(end, vec![old]).is_empty());
}

#[test]
fn word_of_a_crash_older_than_the_process_keeps_its_age() {
    let mut table = PoisonTable::default();
    let early = Time::from_millis(1000);
    let told = |n| Crash { age: Duration::from_secs(300), ..crash("q", n, 0) };
    table.apply(early, vec![told(1), told(2)]);
    assert_matches!(
        table.status(early, request("q")),
        PoisonStatus::Blocked { age, .. } if age == Duration::from_secs(300)
    );
}

#[test]
fn one_account_crowds_no_other_out() {
    let mut table = PoisonTable::default();
    let mut of = |name: &str, n: u32, upstreams: &[u32]| {
        let owner = account(name);
        let body = n.to_be_bytes();
        let request = Fingerprint::of(Some(&owner), "POST", ("host", "/x"), &[], &body);
        let seen = |u: &u32| Crash::new(request, Some(&owner), &upstream(*u), 0);
        // Each a little later than the one before.
        let now = NOW.after(Duration::from_millis(u64::from(n)));
        table.apply(now, upstreams.iter().map(seen).collect());
        request
    };
    let theirs = of("quiet", 0, &[1, 2]);
    let mut last = theirs;
    for n in 0..3000 {
        last = of("busy", n, &[n, n + 1]);
    }
    for name in 0..100 {
        for n in 0..20 {
            of(&format!("many-{name}"), n, &[n]);
        }
    }
    assert!(table.len() <= 512, "{}", table.len());
    for request in [theirs, last] {
        assert_matches!(table.status(NOW, request), PoisonStatus::Blocked { .. });
    }
}
