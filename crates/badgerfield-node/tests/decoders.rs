//! Decoders and parsers of external input must not panic on arbitrary bytes and texts.

use std::path::Path;

use badgerfield_core::ledger::LedgerShard;
use badgerfield_core::template::TemplateSet;
use badgerfield_core::view::View;
use badgerfield_node::ini_file::IniFile;
use badgerfield_node::settings::Settings;
use badgerfield_node::{peers, templates};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Generates texts that resemble the INI files of operators.
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

    /// Guards against a panic on a malformed batch of messages from a peer.
    #[test]
    fn messages(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = peers::decode(&bytes);
    }

    /// Guards against a panic on a malformed view, ledger shard or template set in the store.
    #[test]
    fn store_values(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = View::decode(Some(&bytes));
        let _ = LedgerShard::decode(Some(&bytes));
        let _ = TemplateSet::decode(&bytes);
    }

    /// Guards against a panic on a malformed settings or template file.
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
