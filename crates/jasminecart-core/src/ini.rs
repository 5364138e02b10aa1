//! Typed parsing of INI text, shared by documents and process settings.
//!
//! All problems are collected, each with its section, key and line, so that an operator sees all
//! errors of a file at once. A key that is never read is an error, which suggests the nearest known
//! key.

use std::collections::BTreeSet;
use std::fmt;

use ini_core::{Item, Parser};
use thiserror::Error;

/// The largest INI text accepted, in bytes. It equals the largest value of the configuration
/// service.
pub const MAX_TEXT_BYTES: usize = 1 << 20;
/// Upper bound on the problems collected for one text. Further ones would not help an operator.
pub const MAX_PROBLEMS: usize = 100;

/// A problem found in an INI text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The section header, such as `target claims-1`, or empty outside of sections.
    pub section: String,
    /// The key, or empty if the problem concerns the whole section.
    pub key: String,
    /// The line number, counted from 1.
    pub line: u32,
    /// The description of the problem.
    pub text: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, [{}]", self.line, self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": {}", self.text)
    }
}

#[derive(Clone, Debug)]
struct Entry {
    key: String,
    value: String,
    line: u32,
    /// Whether the value was read. An entry that was not is reported as unknown.
    used: bool,
}

/// All problems of settings that were rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the settings have {} problems, the first: {}", problems.len(), first(problems))]
pub struct SettingsErrors {
    /// The problems in the order of their lines.
    pub problems: Vec<Problem>,
}

fn first(problems: &[Problem]) -> String {
    problems.first().map(Problem::to_string).unwrap_or_default()
}

/// A section of an INI text with its entries.
#[derive(Clone, Debug)]
pub struct Section {
    /// The first word of the header.
    pub kind: String,
    /// The rest of the header, or empty if there is none.
    pub name: String,
    /// The line number of the header, counted from 1, or 0 for a section that the text leaves out.
    pub line: u32,
    entries: Vec<Entry>,
    /// The keys that were read so far, present or not.
    known: Vec<&'static str>,
}

impl Section {
    /// Creates an empty section, which gives the defaults of a section that the text leaves out.
    pub fn empty(kind: impl AsRef<str>) -> Section {
        let kind = kind.as_ref().to_owned();
        Section { kind, name: String::new(), line: 0, entries: Vec::new(), known: Vec::new() }
    }

    /// Returns the header as written.
    pub fn header(&self) -> String {
        if self.name.is_empty() {
            self.kind.clone()
        } else {
            format!("{} {}", self.kind, self.name)
        }
    }

    /// Returns the line number of a key, or that of the header if the key is absent.
    pub fn line_of(&self, key: &str) -> u32 {
        self.entries.iter().find(|entry| entry.key == key).map_or(self.line, |entry| entry.line)
    }

    /// Reports a problem with a key of this section.
    pub fn report(&self, problems: &mut Problems, key: &str, text: impl Into<String>) {
        problems.push(Problem {
            section: self.header(),
            key: key.to_owned(),
            line: self.line_of(key),
            text: text.into(),
        });
    }

    /// Reads an optional value. A malformed value is reported with `expected` and treated as
    /// absent.
    pub fn optional<T>(
        &mut self,
        problems: &mut Problems,
        key: &'static str,
        expected: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.lookup(key)?;
        let parsed = parse(&value);
        if parsed.is_none() {
            self.report(problems, key, format!("{value:?} is not {expected}"));
        }
        parsed
    }

    /// Reads an optional secret. Problems may be logged, so a malformed secret is reported without
    /// its value.
    pub fn secret<T>(
        &mut self,
        problems: &mut Problems,
        key: &'static str,
        expected: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let parsed = parse(&self.lookup(key)?);
        if parsed.is_none() {
            self.report(problems, key, format!("the value is not {expected}"));
        }
        parsed
    }

    /// Returns the value of a key, and records that the key is known and was read.
    fn lookup(&mut self, key: &'static str) -> Option<String> {
        self.known.push(key);
        let entry = self.entries.iter_mut().find(|entry| entry.key == key)?;
        entry.used = true;
        Some(entry.value.clone())
    }

    /// Reads a required value. Its absence is reported.
    pub fn required<T>(
        &mut self,
        problems: &mut Problems,
        key: &'static str,
        expected: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        if !self.entries.iter().any(|entry| entry.key == key) {
            self.known.push(key);
            self.report(problems, key, format!("missing; expected {expected}"));
            return None;
        }
        self.optional(problems, key, expected, parse)
    }

    /// Reads a comma-separated list. An absent key is an empty list.
    pub fn list<T>(
        &mut self,
        problems: &mut Problems,
        key: &'static str,
        expected: &str,
        mut parse: impl FnMut(&str) -> Option<T>,
    ) -> Vec<T> {
        let split = |text: &str| text.split(',').map(|item| parse(item.trim())).collect();
        self.optional(problems, key, expected, split).unwrap_or_default()
    }

    /// Reports every key that was not read as unknown.
    pub fn finish(self, problems: &mut Problems) {
        for entry in self.entries.iter().filter(|entry| !entry.used) {
            let nearest = nearest(&entry.key, &self.known);
            let hint = nearest.map(|key| format!("; did you mean {key:?}?")).unwrap_or_default();
            problems.push(Problem {
                section: self.header(),
                key: entry.key.clone(),
                line: entry.line,
                text: format!("unknown key{hint}"),
            });
        }
    }
}

/// Returns the known word nearest to `word`, if one is near enough for `word` to be a typing error.
pub fn nearest<'a>(word: &str, known: &[&'a str]) -> Option<&'a str> {
    let distance = |key: &&str| strsim::damerau_levenshtein(word, key);
    let best = known.iter().copied().min_by_key(distance)?;
    (distance(&best) <= 3).then_some(best)
}

/// The problems found so far, at most [`MAX_PROBLEMS`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problems(Vec<Problem>);

impl Problems {
    /// Adds a problem, unless the bound is reached.
    pub fn push(&mut self, problem: Problem) {
        if self.0.len() < MAX_PROBLEMS {
            self.0.push(problem);
        }
    }

    /// Returns the problems in the order of their line numbers.
    pub fn into_sorted(mut self) -> Vec<Problem> {
        self.0.sort_by_key(|problem| problem.line);
        self.0
    }

    /// Returns whether no problem was found.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Splits an INI text into sections. Malformed lines, repeated keys and repeated sections are
/// reported.
pub fn sections(text: &str, problems: &mut Problems) -> Vec<Section> {
    let mut sections: Vec<Section> = Vec::new();
    if text.len() > MAX_TEXT_BYTES {
        let text =
            format!("the text has {} bytes; at most {MAX_TEXT_BYTES} are allowed", text.len());
        problems.push(Problem { section: String::new(), key: String::new(), line: 1, text });
        return sections;
    }
    // A set, because comparing all pairs of headers took half of the time to parse a 1 MB document.
    let mut headers = BTreeSet::new();
    let mut parser = Parser::new(text).auto_trim(true);
    while let Some(item) = parser.next() {
        let line = parser.line();
        match item {
            Item::Section(header) => {
                let section = start_section(header, line);
                if !headers.insert(section.header()) {
                    section.report(problems, "", "this section appears twice");
                }
                sections.push(section);
            }
            Item::Property(key, value) => add_entry(&mut sections, key, value, line, problems),
            Item::Error(found) => {
                let text = format!("{found:?} is not a section header such as [target NAME]");
                problems.push(Problem { section: String::new(), key: String::new(), line, text });
            }
            Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
        }
    }
    sections
}

fn start_section(header: &str, line: u32) -> Section {
    let (kind, name) = header.split_once(char::is_whitespace).unwrap_or((header, ""));
    let mut section = Section::empty(kind);
    section.name = name.trim().to_owned();
    section.line = line;
    section
}

fn add_entry(
    sections: &mut [Section],
    key: &str,
    value: Option<&str>,
    line: u32,
    problems: &mut Problems,
) {
    let header = sections.last().map(Section::header).unwrap_or_default();
    let mut report = |text: &str| {
        let (key, text) = (key.to_owned(), text.to_owned());
        problems.push(Problem { section: header.clone(), key, line, text });
    };
    let Some(section) = sections.last_mut() else {
        return report("the key precedes the first section header");
    };
    let Some(value) = value else {
        return report("the line has no \"=\"");
    };
    if section.entries.iter().any(|entry| entry.key == key) {
        return report("the key appears twice in this section");
    }
    section.entries.push(Entry { key: key.to_owned(), value: value.to_owned(), line, used: false });
}

/// Reports sections of settings whose kind is not in `kinds`, with the nearest known kind, and
/// sections that have a name, since those of settings take none.
pub fn report_unknown(sections: &[Section], kinds: &[&'static str], problems: &mut Problems) {
    for section in sections {
        if !kinds.contains(&section.kind.as_str()) {
            let hint = nearest(&section.kind, kinds);
            let hint = hint.map(|kind| format!("; did you mean {kind:?}?")).unwrap_or_default();
            section.report(problems, "", format!("unknown section{hint}"));
        } else if !section.name.is_empty() {
            section.report(problems, "", "this section takes no name");
        }
    }
}

/// Removes and returns the section of a kind. For an absent one, returns a section without entries,
/// so that its required keys are reported as missing.
pub fn take(sections: &mut Vec<Section>, kind: &str) -> Section {
    let place = sections.iter().position(|section| section.kind == kind);
    place.map_or_else(|| Section::empty(kind), |place| sections.swap_remove(place))
}
