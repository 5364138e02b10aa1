//! Checks that the tables of docs/OPERATIONS.md list exactly the keys that the code reads.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use jasminecart_core::ini::Problem;
use jasminecart_core::version::{Document, Revision};
use jasminecart_entry::Settings;
use test_case::test_case;

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the rows of the table below a heading as section, key and example.
fn rows(heading: &str) -> Vec<(String, String, String)> {
    let page = std::fs::read_to_string(repository().join("docs/OPERATIONS.md")).unwrap();
    let part = page.split(&format!("## {heading}\n")).nth(1).unwrap();
    let part = part.split("\n## ").next().unwrap();
    let cells = |line: &str| {
        let cells: Vec<String> = line.split('|').map(|cell| cell.trim().replace('`', "")).collect();
        (cells.len() == 7 && line.starts_with("| `"))
            .then(|| (cells[1].clone(), cells[2].clone(), cells[5].clone()))
    };
    part.lines().filter_map(cells).collect()
}

/// Returns an INI text that sets every documented key to its example.
fn text(rows: &[(String, String, String)]) -> String {
    let mut sections: BTreeMap<&str, String> = BTreeMap::new();
    for (section, key, example) in rows {
        *sections.entry(section).or_default() += &format!("{key} = {example}\n");
    }
    let names =
        [("service", "ledger"), ("target", "t-1"), ("class", "claims"), ("tenant", "default")];
    let mut text = String::new();
    for (section, body) in sections {
        let kind = section.trim_end_matches(" NAME");
        let name = names.iter().find(|(of, _)| *of == kind).map_or("", |(_, name)| name);
        text += &format!("[{}]\n{body}", format!("{kind} {name}").trim());
    }
    text
}

/// Returns the keys that a source file reads, found as the string argument that follows `problems`.
fn keys_read(file: &str) -> BTreeSet<String> {
    let source = std::fs::read_to_string(repository().join(file)).unwrap();
    let calls = source.split("problems,").skip(1).map(str::trim_start);
    let quoted = calls.filter_map(|rest| rest.strip_prefix('"')?.split('"').next());
    quoted.filter(|key| !key.is_empty()).map(str::to_owned).collect()
}

fn document_problems(text: &str) -> Vec<Problem> {
    Document::parse(Revision(1), text).err().map(|errors| errors.problems).unwrap_or_default()
}

fn settings_problems(text: &str) -> Vec<Problem> {
    Settings::parse(text).err().map(|errors| errors.problems).unwrap_or_default()
}

fn forward_problems(text: &str) -> Vec<Problem> {
    jasminecart_forward::Settings::parse(text)
        .err()
        .map(|errors| errors.problems)
        .unwrap_or_default()
}

// Guards against documented keys that do not exist, wrong units in examples, and undocumented keys.
#[test_case("Document keys", document_problems, "crates/jasminecart-core/src/version/parse.rs")]
#[test_case(
    "Settings of an entry VM",
    settings_problems,
    "crates/jasminecart-entry/src/settings.rs"
)]
#[test_case(
    "Settings of a forwarding VM",
    forward_problems,
    "crates/jasminecart-forward/src/settings.rs"
)]
fn the_page_lists_the_keys(heading: &str, problems: fn(&str) -> Vec<Problem>, source: &str) {
    let rows = rows(heading);
    let text = text(&rows);
    assert_eq!(problems(&text), [], "{text}");
    let documented: BTreeSet<String> = rows.into_iter().map(|(_, key, _)| key).collect();
    assert_eq!(documented, keys_read(source));
}
