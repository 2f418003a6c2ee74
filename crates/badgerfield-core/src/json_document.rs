//! Finds out whether a text is one whole JSON object or array.
//!
//! Such a document ends with the bracket that closes it, so no proper prefix of it is whole but for
//! one that lacks white space at its end. Numbers and other values do not have this property.
//! The format is specified in RFC 8259.

/// The maximum depth of nested objects and arrays. A deeper document does not count as whole.
const MAX_DEPTH: u32 = u128::BITS;

/// Reads the text of a document in pieces of any size.
///
/// It checks brackets and strings, and rejects bytes that occur nowhere else in JSON, but does not
/// check the order of values, commas and colons.
#[derive(Debug, Clone, Default)]
pub struct DocumentScanner {
    place: Place,
    /// The number of open objects and arrays.
    depth: u32,
    /// The kinds of the open brackets, of which the innermost is the lowest bit: 1 for objects.
    open: u128,
}

/// Where the text read so far ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Place {
    #[default]
    Before,
    Between,
    InString,
    /// Behind a backslash in a string.
    Escaped,
    After,
    /// The text is not one object or array.
    Invalid,
}

impl DocumentScanner {
    /// Appends bytes of the text.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.place == Place::Invalid {
                return;
            }
            self.place = self.step(*byte);
        }
    }

    /// Returns whether the text is one whole object or array.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.place == Place::After
    }

    fn step(&mut self, byte: u8) -> Place {
        match (self.place, byte) {
            (Place::Before | Place::Between | Place::After, b' ' | b'\t' | b'\n' | b'\r') => {
                self.place
            }
            (Place::Before | Place::Between, b'{' | b'[') => self.open(byte == b'{'),
            (Place::Between, b'}' | b']') => self.close(byte == b'}'),
            (Place::Between, b'"') => Place::InString,
            (Place::Between, byte) if is_value_byte(byte) => Place::Between,
            (Place::InString, b'"') => Place::Between,
            (Place::InString, b'\\') => Place::Escaped,
            (Place::InString | Place::Escaped, b' '..) => Place::InString,
            _ => Place::Invalid,
        }
    }

    fn open(&mut self, is_object: bool) -> Place {
        if self.depth == MAX_DEPTH {
            return Place::Invalid;
        }
        self.depth += 1;
        self.open = self.open << 1 | u128::from(is_object);
        Place::Between
    }

    fn close(&mut self, is_object: bool) -> Place {
        if self.open & 1 != u128::from(is_object) {
            return Place::Invalid;
        }
        self.depth -= 1;
        self.open >>= 1;
        if self.depth == 0 { Place::After } else { Place::Between }
    }
}

/// Returns whether a byte occurs in numbers, `true`, `false` and `null`, or separates values.
fn is_value_byte(byte: u8) -> bool {
    byte.is_ascii_digit() || b",:+-.eEtrufalsn".contains(&byte)
}

/// Returns whether a media type is that of one JSON document.
#[must_use]
pub fn is_json(content_type: &str) -> bool {
    let media_type = content_type.split(';').next().unwrap_or_default().trim();
    let media_type = media_type.to_ascii_lowercase();
    // Several documents in a row.
    let is_sequence = media_type == "application/stream+json";
    media_type == "application/json" || (media_type.ends_with("+json") && !is_sequence)
}
