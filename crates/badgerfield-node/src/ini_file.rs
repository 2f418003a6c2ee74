//! INI files read with care: every fault is kept, with its section, key and line.

use std::collections::BTreeSet;
use std::fmt;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use ini::Ini;
use thiserror::Error;

/// The largest file that is read, in bytes.
const MAX_FILE: u64 = 8_000_000;

/// One fault of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The file.
    pub file: PathBuf,
    /// The line, where one is to blame.
    pub line: Option<usize>,
    /// The section.
    pub section: String,
    /// The key, where one is to blame.
    pub key: Option<String>,
    /// What is wrong, and what was expected.
    pub what: String,
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
        write!(f, ": {}", self.what)
    }
}

/// Why a file cannot be used.
#[derive(Debug, Error)]
pub enum IniError {
    /// The file cannot be read.
    #[error("cannot read {file}: {error}")]
    Read {
        /// The file.
        file: PathBuf,
        /// What the system said.
        error: std::io::Error,
    },
    /// The file is too large.
    #[error("{0}: expected at most {MAX_FILE} bytes")]
    TooLarge(PathBuf),
    /// The file is not INI.
    #[error("{file}: expected INI: {error}")]
    NotIni {
        /// The file.
        file: PathBuf,
        /// What the parser said.
        error: String,
    },
    /// The file has faults.
    #[error("{}", list(.0))]
    Faulty(Vec<Fault>),
}

fn list(faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// A file being read.
#[derive(Debug)]
pub struct IniFile {
    path: PathBuf,
    text: String,
    ini: Ini,
    used: BTreeSet<(String, String)>,
    faults: Vec<Fault>,
}

impl IniFile {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Refuses what cannot be read, is too large, or is not INI.
    pub fn open(path: &Path) -> Result<Self, IniError> {
        let file = path.to_owned();
        let size = std::fs::metadata(path).map(|m| m.len());
        let size = size.map_err(|error| IniError::Read { file: file.clone(), error })?;
        if size > MAX_FILE {
            return Err(IniError::TooLarge(file));
        }
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| IniError::Read { file, error })?;
        Self::parse(path, text)
    }

    /// Parses a text as if it stood in a file.
    ///
    /// # Errors
    ///
    /// Refuses what is not INI.
    pub fn parse(path: &Path, text: String) -> Result<Self, IniError> {
        let path = path.to_owned();
        let ini = Ini::load_from_str(&text)
            .map_err(|error| IniError::NotIni { file: path.clone(), error: error.to_string() })?;
        Ok(Self { path, text, ini, used: BTreeSet::new(), faults: Vec::new() })
    }

    /// Returns the names of all sections, in order.
    #[must_use]
    pub fn sections(&self) -> Vec<String> {
        self.ini.sections().flatten().map(str::to_owned).collect()
    }

    /// Returns the keys of a section with their texts, in order.
    pub fn entries(&mut self, section: &str) -> Vec<(String, String)> {
        let found = self.ini.section(Some(section)).into_iter().flat_map(|s| s.iter());
        let entries: Vec<_> = found.map(|(k, v)| (k.to_owned(), v.trim().to_owned())).collect();
        for (key, _) in &entries {
            self.used.insert((section.to_owned(), key.clone()));
        }
        entries
    }

    /// Returns a text that must be there.
    pub fn text(&mut self, section: &str, key: &str) -> Option<String> {
        let value = self.optional_text(section, key);
        if value.is_none() {
            self.fault(section, Some(key), "expected a value, found none".to_owned());
        }
        value
    }

    /// Returns a text that may be there.
    pub fn optional_text(&mut self, section: &str, key: &str) -> Option<String> {
        self.used.insert((section.to_owned(), key.to_owned()));
        let value = self.ini.get_from(Some(section), key)?;
        Some(value.trim().to_owned())
    }

    /// Returns a value that must be there.
    pub fn value<T: FromStr<Err: fmt::Display>>(&mut self, section: &str, key: &str) -> Option<T> {
        let text = self.text(section, key)?;
        self.read(section, key, &text)
    }

    /// Returns a value, or another if it is not there.
    pub fn value_or<T: FromStr<Err: fmt::Display>>(
        &mut self,
        section: &str,
        key: &str,
        other: T,
    ) -> T {
        let Some(text) = self.optional_text(section, key) else {
            return other;
        };
        self.read(section, key, &text).unwrap_or(other)
    }

    /// Returns a span such as `5s` or `200ms` within bounds, or another if it is not there.
    pub fn span_or(
        &mut self,
        section: &str,
        key: &str,
        other: Duration,
        bounds: (Duration, Duration),
    ) -> Duration {
        let Some(text) = self.optional_text(section, key) else {
            return other;
        };
        let Ok(span) = humantime::parse_duration(&text) else {
            let what = format!("expected a time with its unit, for example 5s, found {text:?}");
            self.fault(section, Some(key), what);
            return other;
        };
        let (least, most) = bounds;
        if span < least || span > most {
            let what = format!("expected a time from {least:?} to {most:?}, found {text}");
            self.fault(section, Some(key), what);
        }
        span
    }

    /// Returns a list of values separated by commas; empty if it is not there.
    pub fn list<T: FromStr<Err: fmt::Display>>(&mut self, section: &str, key: &str) -> Vec<T> {
        let text = self.optional_text(section, key).unwrap_or_default();
        let words: Vec<_> = text.split(',').map(str::trim).filter(|w| !w.is_empty()).collect();
        words.iter().filter_map(|word| self.read(section, key, word)).collect()
    }

    /// Notes a fault.
    pub fn fault(&mut self, section: &str, key: Option<&str>, what: String) {
        let line = self.line_of(section, key);
        let (file, section) = (self.path.clone(), section.to_owned());
        let key = key.map(str::to_owned);
        self.faults.push(Fault { file, line, section, key, what });
    }

    /// Ends the reading: unknown sections and keys are faults too.
    ///
    /// # Errors
    ///
    /// Returns every fault.
    pub fn finish(mut self, known: impl Fn(&str) -> bool) -> Result<(), IniError> {
        let mut unknown = Vec::new();
        for (section, properties) in &self.ini {
            let name = section.unwrap_or("");
            // What precedes the first section has no name, and is usually empty.
            if section.is_none() && properties.is_empty() {
                continue;
            }
            if !known(name) {
                unknown.push((name.to_owned(), None));
                continue;
            }
            for (key, _) in properties {
                if !self.used.contains(&(name.to_owned(), key.to_owned())) {
                    unknown.push((name.to_owned(), Some(key.to_owned())));
                }
            }
        }
        for (section, key) in unknown {
            let what = match key {
                Some(_) => "unknown key; see `badgerfield check --help`",
                None => "unknown section; see `badgerfield check --help`",
            };
            self.fault(&section, key.as_deref(), what.to_owned());
        }
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(IniError::Faulty(self.faults))
    }

    /// Reads a text as a value; one that cannot be read is a fault.
    pub fn read<T: FromStr<Err: fmt::Display>>(
        &mut self,
        section: &str,
        key: &str,
        text: &str,
    ) -> Option<T> {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(section, Some(key), format!("{error} (found {text:?})"));
                None
            }
        }
    }

    fn line_of(&self, section: &str, key: Option<&str>) -> Option<usize> {
        let mut inside = section.is_empty();
        for (i, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
                inside = name.trim() == section;
                if inside && key.is_none() {
                    return Some(i + 1);
                }
                continue;
            }
            let found = line.split_once('=').map(|(k, _)| k.trim());
            if inside && key.is_some() && found == key {
                return Some(i + 1);
            }
        }
        None
    }
}
