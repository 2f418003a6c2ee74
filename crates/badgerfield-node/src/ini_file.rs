//! Parsing of INI files. Collects every fault of a file, each with its section, key and line.

use std::collections::BTreeSet;
use std::fmt;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use ini::Ini;
use thiserror::Error;

/// The maximum size of a file, in bytes.
const MAX_FILE_BYTES: u64 = 8_000_000;

/// A fault in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The path of the file.
    pub file: PathBuf,
    /// The line number, if the fault is on a particular line.
    pub line: Option<usize>,
    /// The section that contains the fault.
    pub section: String,
    /// The key, if the fault concerns a particular key.
    pub key: Option<String>,
    /// What was expected and what was found.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        write!(f, ": [{}]", self.section)?;
        if let Some(key) = &self.key {
            write!(f, " {key}")?;
        }
        write!(f, ": {}", self.message)
    }
}

/// The error for a file that cannot be used.
#[derive(Debug, Error)]
pub enum IniError {
    /// The file cannot be read.
    #[error("cannot read {file}: {error}")]
    Read {
        /// The path of the file.
        file: PathBuf,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The file is too large.
    #[error("{0}: expected at most {MAX_FILE_BYTES} bytes")]
    TooLarge(PathBuf),
    /// The file is not INI.
    #[error("{file}: expected INI: {error}")]
    NotIni {
        /// The path of the file.
        file: PathBuf,
        /// The message of the parser.
        error: String,
    },
    /// The file has faults.
    #[error("{}", join_faults(.0))]
    Faulty(Vec<Fault>),
}

fn join_faults(faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// A parsed file whose values are being read.
///
/// Records the keys that are read and the faults that are found. [`IniFile::finish`] reports them.
#[derive(Debug)]
pub struct IniFile {
    path: PathBuf,
    text: String,
    ini: Ini,
    read_keys: BTreeSet<(String, String)>,
    faults: Vec<Fault>,
}

impl IniFile {
    /// Reads and parses a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is too large, or is not INI.
    pub fn load(path: &Path) -> Result<Self, IniError> {
        let file = path.to_owned();
        let size = std::fs::metadata(path).map(|m| m.len());
        let size = size.map_err(|error| IniError::Read { file: file.clone(), error })?;
        if size > MAX_FILE_BYTES {
            return Err(IniError::TooLarge(file));
        }
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| IniError::Read { file, error })?;
        Self::parse(path, text)
    }

    /// Parses a text as the contents of a file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the text is not INI.
    pub fn parse(path: &Path, text: String) -> Result<Self, IniError> {
        let path = path.to_owned();
        let ini = Ini::load_from_str(&text)
            .map_err(|error| IniError::NotIni { file: path.clone(), error: error.to_string() })?;
        Ok(Self { path, text, ini, read_keys: BTreeSet::new(), faults: Vec::new() })
    }

    /// Returns the names of all sections, in the order of the file.
    #[must_use]
    pub fn sections(&self) -> Vec<String> {
        self.ini.sections().flatten().map(str::to_owned).collect()
    }

    /// Returns the keys of a section and their texts, in the order of the file.
    pub fn entries(&mut self, section: &str) -> Vec<(String, String)> {
        let found = self.ini.section(Some(section)).into_iter().flat_map(|s| s.iter());
        let entries: Vec<_> = found.map(|(k, v)| (k.to_owned(), v.trim().to_owned())).collect();
        for (key, _) in &entries {
            self.read_keys.insert((section.to_owned(), key.clone()));
        }
        entries
    }

    /// Returns the text of a required key, or records a fault if the key is missing.
    pub fn required_text(&mut self, section: &str, key: &str) -> Option<String> {
        let value = self.optional_text(section, key);
        if value.is_none() {
            self.record_fault(section, Some(key), "expected a value, found none".to_owned());
        }
        value
    }

    /// Returns the text of an optional key.
    pub fn optional_text(&mut self, section: &str, key: &str) -> Option<String> {
        self.read_keys.insert((section.to_owned(), key.to_owned()));
        let value = self.ini.get_from(Some(section), key)?;
        Some(value.trim().to_owned())
    }

    /// Returns the value of a required key, or records a fault if the key is missing or invalid.
    pub fn required_value<T: FromStr<Err: fmt::Display>>(
        &mut self,
        section: &str,
        key: &str,
    ) -> Option<T> {
        let text = self.required_text(section, key)?;
        self.parse_value(section, key, &text)
    }

    /// Returns the value of a key, or `default` if the key is missing. An invalid value is a fault.
    pub fn value_or<T: FromStr<Err: fmt::Display>>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
    ) -> T {
        let Some(text) = self.optional_text(section, key) else {
            return default;
        };
        self.parse_value(section, key, &text).unwrap_or(default)
    }

    /// Returns a duration such as `5s` or `200ms`, or `default` if the key is missing. A duration
    /// outside the bounds is a fault.
    pub fn duration_or(
        &mut self,
        section: &str,
        key: &str,
        default: Duration,
        bounds: (Duration, Duration),
    ) -> Duration {
        let Some(text) = self.optional_text(section, key) else {
            return default;
        };
        let Ok(duration) = humantime::parse_duration(&text) else {
            let message =
                format!("expected a duration with a unit, for example 5s, found {text:?}");
            self.record_fault(section, Some(key), message);
            return default;
        };
        let (min, max) = bounds;
        if duration < min || duration > max {
            let message = format!("expected a duration from {min:?} to {max:?}, found {text}");
            self.record_fault(section, Some(key), message);
        }
        duration
    }

    /// Returns the values of a comma-separated list; empty if the key is missing. Each invalid
    /// value is a fault.
    pub fn list<T: FromStr<Err: fmt::Display>>(&mut self, section: &str, key: &str) -> Vec<T> {
        let text = self.optional_text(section, key).unwrap_or_default();
        let items: Vec<_> = text.split(',').map(str::trim).filter(|w| !w.is_empty()).collect();
        items.iter().filter_map(|item| self.parse_value(section, key, item)).collect()
    }

    /// Records a fault.
    pub fn record_fault(&mut self, section: &str, key: Option<&str>, message: String) {
        let line = self.find_line(section, key);
        let (file, section) = (self.path.clone(), section.to_owned());
        let key = key.map(str::to_owned);
        self.faults.push(Fault { file, line, section, key, message });
    }

    /// Records each unknown section and each key that was not read as a fault, and reports all
    /// faults.
    ///
    /// # Errors
    ///
    /// Fails if the file has faults. The error lists every fault.
    pub fn finish(mut self, is_known_section: impl Fn(&str) -> bool) -> Result<(), IniError> {
        let mut unknown = Vec::new();
        for (section, properties) in &self.ini {
            let name = section.unwrap_or("");
            // The properties before the first section belong to a section without a name.
            if section.is_none() && properties.is_empty() {
                continue;
            }
            if !is_known_section(name) {
                unknown.push((name.to_owned(), None));
                continue;
            }
            for (key, _) in properties {
                if !self.read_keys.contains(&(name.to_owned(), key.to_owned())) {
                    unknown.push((name.to_owned(), Some(key.to_owned())));
                }
            }
        }
        for (section, key) in unknown {
            let message = match key {
                Some(_) => "unknown key; see `badgerfield check --help`",
                None => "unknown section; see `badgerfield check --help`",
            };
            self.record_fault(&section, key.as_deref(), message.to_owned());
        }
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(IniError::Faulty(self.faults))
    }

    /// Parses a text as a value. A text that cannot be parsed is a fault.
    pub fn parse_value<T: FromStr<Err: fmt::Display>>(
        &mut self,
        section: &str,
        key: &str,
        text: &str,
    ) -> Option<T> {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.record_fault(section, Some(key), format!("{error} (found {text:?})"));
                None
            }
        }
    }

    fn find_line(&self, section: &str, key: Option<&str>) -> Option<usize> {
        let mut is_in_section = section.is_empty();
        for (i, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
                is_in_section = name.trim() == section;
                if is_in_section && key.is_none() {
                    return Some(i + 1);
                }
                continue;
            }
            let found = line.split_once('=').map(|(k, _)| k.trim());
            if is_in_section && key.is_some() && found == key {
                return Some(i + 1);
            }
        }
        None
    }
}
