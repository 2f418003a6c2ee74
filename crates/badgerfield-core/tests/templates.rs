//! Validation and distribution of templates: an invalid set is refused as a whole, with all of its
//! errors, and no process returns to an older version.

use std::collections::BTreeSet;
use std::time::Duration;

use assert_matches::assert_matches;
use badgerfield_core::amount::{Percent, Tokens};
use badgerfield_core::ids::{Author, Period, TemplateVersion};
use badgerfield_core::residency::Residency;
use badgerfield_core::template::{
    AccountTemplate, BudgetTemplate, KeyDigest, TemplateError, TemplateSet,
};

fn author() -> Author {
    "ama".parse().expect("the name is valid")
}

fn set() -> TemplateSet {
    let mut set = TemplateSet::default();
    let account = AccountTemplate {
        changed: TemplateVersion(0),
        priority: 1,
        models: BTreeSet::from(["m".parse().expect("the name is valid")]),
        adapters: BTreeSet::new(),
        hardware: BTreeSet::new(),
        services: BTreeSet::new(),
        unrepeatable: BTreeSet::new(),
        home: None,
        spread: Percent::new(80).expect("a share"),
        output_limit: Tokens(100),
        call_cost: Tokens(1),
        queue_wait: Duration::from_secs(5),
        regions: Residency::default(),
    };
    set.accounts.insert("a".parse().expect("the name is valid"), account);
    let keys = BTreeSet::from([KeyDigest::from_secret("key")]);
    let budget =
        BudgetTemplate { changed: TemplateVersion(0), limit: Tokens(10), period: Period(2), keys };
    set.budgets.insert("a/b".parse().expect("the name is valid"), budget);
    set
}

fn next_set(old: &TemplateSet, wanted: TemplateSet) -> Result<TemplateSet, Vec<TemplateError>> {
    old.replace(wanted, author(), 0, "mark".into())
}

#[test]
fn an_invalid_set_is_refused_with_all_errors() {
    let first = next_set(&TemplateSet::default(), set()).expect("the set is valid");
    let mut invalid = set();
    let account = invalid.accounts.values_mut().next().expect("the set is not empty");
    account.priority = 0;
    account.output_limit = Tokens::ZERO;
    let budget = invalid.budgets.values_mut().next().expect("the set is not empty");
    budget.period = Period(1);
    let copy = budget.clone();
    invalid.budgets.insert("c/d".parse().expect("the name is valid"), copy);
    let errors = next_set(&first, invalid).expect_err("the set is invalid");
    assert_eq!(errors.len(), 5, "{errors:?}");
    assert_matches!(errors[0], TemplateError::PeriodDecreased { .. });
    assert_eq!(first.version, TemplateVersion(1));
}

/// Other processes receive only the templates that changed after their version.
#[test]
fn only_changed_templates_get_a_new_version() {
    let first = next_set(&TemplateSet::default(), set()).expect("the set is valid");
    let mut wanted = set();
    wanted.budgets.values_mut().next().expect("the set is not empty").limit = Tokens(20);
    let second = next_set(&first, wanted).expect("the set is valid");
    let account = second.accounts.values().next().expect("the set is not empty");
    let budget = second.budgets.values().next().expect("the set is not empty");
    assert_eq!((account.changed, budget.changed), (TemplateVersion(1), TemplateVersion(2)));
    assert_eq!(second.history.len(), 2);
    assert_eq!(second.history[1].diff, ["budget a/b: limit 10 to 20"]);
}

/// Deltas may arrive late, out of order or after a missed version.
#[test]
fn deltas_never_lead_to_an_older_version() {
    let first = next_set(&TemplateSet::default(), set()).expect("the set is valid");
    let mut wanted = set();
    wanted.budgets.values_mut().next().expect("the set is not empty").limit = Tokens(20);
    let second = next_set(&first, wanted).expect("the set is valid");
    let mut receiver = first.clone();
    assert!(receiver.apply_delta(second.delta_since(first.version)));
    assert_eq!(receiver.version, second.version);
    assert_eq!(receiver.budgets, second.budgets);
    // A delta to an older version, or based on a version that the set does not have, is refused.
    assert!(!receiver.apply_delta(first.delta_since(TemplateVersion(0))));
    let mut empty = TemplateSet::default();
    assert!(!empty.apply_delta(second.delta_since(first.version)));
    // A removal shows in the counts, and the process then requests the whole set.
    let mut fewer = second.clone();
    fewer.budgets.clear();
    let third = next_set(&second, fewer).expect("the set is valid");
    assert!(!receiver.apply_delta(third.delta_since(second.version)));
}
