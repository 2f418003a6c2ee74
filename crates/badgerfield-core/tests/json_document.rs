//! Tests of the scanner for JSON documents: a part of a document never counts as whole.

use badgerfield_core::json_document::{DocumentScanner, is_json};
use proptest::prelude::*;
use serde_json::{Map, Value};

fn is_whole(text: &[u8]) -> bool {
    let mut scanner = DocumentScanner::default();
    scanner.push(text);
    scanner.is_whole()
}

/// Values with nested objects and arrays, and strings full of brackets, quotes and backslashes.
fn value() -> impl Strategy<Value = Value> {
    let text = "[\\{\\}\\[\\]\"\\\\a \u{e9}\u{1f600}\n]{0,6}";
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        text.prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 40, 5, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..5).prop_map(Value::from),
            prop::collection::btree_map(text, inner, 0..5)
                .prop_map(|map| Value::Object(map.into_iter().collect::<Map<_, _>>())),
        ]
    })
}

/// The text of an object or array, in one line or indented.
fn document() -> impl Strategy<Value = String> {
    (prop::collection::vec(value(), 0..4), any::<bool>(), any::<bool>()).prop_map(
        |(values, is_object, is_indented)| {
            let value = if is_object {
                let named = values.into_iter().enumerate();
                Value::Object(named.map(|(n, value)| (format!("}}{n}\""), value)).collect())
            } else {
                Value::from(values)
            };
            if is_indented { format!("{value:#}") } else { value.to_string() }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against documents that do not count as whole, wherever their bytes are split.
    #[test]
    fn a_document_is_whole(text in document(), cut in any::<prop::sample::Index>(), end in "[ \t\r\n]{0,3}") {
        let text = format!(" {text}{end}");
        let (first, second) = text.as_bytes().split_at(cut.index(text.len()));
        let mut scanner = DocumentScanner::default();
        scanner.push(first);
        scanner.push(second);
        prop_assert!(scanner.is_whole(), "{text}");
    }

    /// Guards against parts of a document that count as whole.
    #[test]
    fn no_part_of_a_document_is_whole(text in document()) {
        for end in 0..text.len() {
            prop_assert!(!is_whole(&text.as_bytes()[..end]), "{end} of {text}");
        }
    }

    /// Guards against a document that counts as whole before the next one has arrived in full.
    #[test]
    fn documents_in_a_row_are_not_whole(first in document(), second in document(), gap in "[\n, ]{0,2}") {
        let text = format!("{first}{gap}{second}");
        for end in (first.len() + gap.len() + 1)..=text.len() {
            prop_assert!(!is_whole(&text.as_bytes()[..end]), "{end} of {text}");
        }
    }

    /// Guards against texts that count as whole and that a parser would read on from.
    #[test]
    fn a_whole_text_closes_all_that_it_opens(text in "[\\{\\}\\[\\]\"\\\\,:a1 ']{0,12}") {
        if let Ok(value) = serde_json::from_str::<Value>(&text) {
            prop_assert_eq!(is_whole(text.as_bytes()), value.is_object() || value.is_array());
        }
    }
}

/// Guards against values whose beginning looks the same as the whole.
#[test]
fn values_without_an_end_are_not_whole() {
    for text in ["", " ", "1", "12", "true", "null", "\"text\"", "\u{feff}{}"] {
        assert!(!is_whole(text.as_bytes()), "{text}");
    }
}

/// Guards against texts that are no JSON, in which a bracket may be part of a string or a comment.
#[test]
fn other_formats_are_not_whole() {
    let texts: [&[u8]; 8] =
        [b"{'a}", b"{/*}", b"{]", b"[}", b"{}}", b"{\"a\nb\"}", b"{x}", b"{\0\"\0\"\0}\0"];
    for text in texts {
        assert!(!is_whole(text), "{}", String::from_utf8_lossy(text));
    }
}

/// Guards against a document that counts as whole with brackets that were not followed.
#[test]
fn a_document_that_is_too_deep_is_not_whole() {
    let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    assert!(is_whole(nested(128).as_bytes()));
    assert!(!is_whole(nested(129).as_bytes()));
}

/// Guards against media types of several documents, or of other formats.
#[test]
fn only_types_of_one_document_are_json() {
    for json in ["application/json", "Application/JSON; charset=utf-8", "application/problem+json"]
    {
        assert!(is_json(json), "{json}");
    }
    let others = ["application/x-ndjson", "application/json-seq", "application/stream+json"];
    for other in others.into_iter().chain(["", "text/plain", "text/event-stream", "text/json"]) {
        assert!(!is_json(other), "{other}");
    }
}
