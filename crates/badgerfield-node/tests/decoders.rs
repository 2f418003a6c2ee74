//! Whatever comes from outside: arbitrary bytes and texts crash nothing.

use std::path::Path;

use badgerfield_core::ledger::LedgerShard;
use badgerfield_core::template::TemplateSet;
use badgerfield_core::view::View;
use badgerfield_node::ini_file::IniFile;
use badgerfield_node::settings::Settings;
use badgerfield_node::{peers, templates};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Texts that look a little like the files that people write.
fn file_text() -> impl Strategy<Value = String> {
    let section = prop_oneof![
        Just("[vm]".to_owned()),
        Just("[limits]".to_owned()),
        Just("[account a]".to_owned()),
        Just("[budget a/b]".to_owned()),
        "\\[[ -~]{0,20}\\]",
    ];
    let key = prop_oneof![Just("name"), Just("limit"), Just("keys"), Just("body"), Just("spread")];
    let line = (key, "[ -~]{0,30}").prop_map(|(key, value)| format!("{key} = {value}"));
    let any = prop_oneof![3 => section, 5 => line, 1 => "[ -~\\n]{0,40}"];
    proptest::collection::vec(any, 0..20).prop_map(|lines| lines.join("\n"))
}

proptest! {
    #![proptest_config(Config { cases: 2000, rng_seed: RngSeed::Fixed(9), failure_persistence: None, ..Config::default() })]

    #[test]
    fn messages(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = peers::decode(&bytes);
    }

    #[test]
    fn values_of_the_platform(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = View::decode(Some(&bytes));
        let _ = LedgerShard::decode(Some(&bytes));
        let _ = TemplateSet::decode(&bytes);
    }

    #[test]
    fn files(text in file_text()) {
        let path = Path::new("some.ini");
        if let Ok(file) = IniFile::parse(path, text.clone()) {
            let _ = Settings::from_ini(file);
        }
        if let Ok(file) = IniFile::parse(path, text) {
            let _ = templates::from_ini(file);
        }
    }
}
