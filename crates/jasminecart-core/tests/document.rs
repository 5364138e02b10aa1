//! Contract tests of the document: which texts are accepted, and which errors an operator sees.

use jasminecart_core::version::{Document, Revision, compare};
use proptest::prelude::*;
use test_case::test_case;

const VALID: &str = "\
[service ledger]
address = 10.0.0.1:443/tcp
host = ledger.example
[target claims-1]
service = ledger
data_centre = ub-1
address = 10.0.1.1:8080
";

#[test]
fn a_valid_document_is_accepted() {
    let document = Document::parse(Revision(1), VALID).unwrap();
    assert_eq!(document.services().len(), 1);
    assert_eq!(document.targets().len(), 1);
    assert!(document.service_for_host("ledger.example").is_some());
}

// Guards against errors that do not name the cause or the line, or that do not suggest the correct
// spelling.
#[test_case("[target a]\nservice = ledger\n", "address: missing"; "missing key")]
#[test_case("[target a]\nservise = ledger\n", "unknown key; did you mean \"service\"?"; "misspelt key")]
#[test_case("[targets a]\n", "unknown section; did you mean \"target\"?"; "misspelt section")]
#[test_case("[class a]\nmax_queue_time = 5\n", "is not a span"; "span without a unit")]
#[test_case("[service b]\nclass = gone\n", "there is no [class gone]"; "reference to a missing section")]
#[test_case("[service b]\naddress = 10.0.0.1:443/tcp\n", "10.0.0.1:443/tcp belongs to ledger"; "address used twice")]
#[test_case("[target claims-1]\n", "this section appears twice"; "section twice")]
#[test_case("[class a]\npriority = 1\npriority = 2\n", "appears twice"; "key twice")]
fn an_invalid_document_names_the_problem(extra: &str, expected: &str) {
    let errors = Document::parse(Revision(1), &format!("{VALID}{extra}")).unwrap_err();
    let found = errors.problems.iter().any(|problem| problem.to_string().contains(expected));
    assert!(found, "{expected:?} is not among {:?}", errors.problems);
    assert!(errors.problems.iter().all(|problem| problem.line >= 8));
}

// Guards against removing every service because the configuration service returned an empty value.
#[test_case(""; "empty")]
#[test_case("; only a comment\n"; "comment")]
#[test_case("[limits]\nmax_attempts = 2\n"; "limits only")]
fn a_document_without_services_is_refused(text: &str) {
    let errors = Document::parse(Revision(1), text).unwrap_err();
    assert!(errors.to_string().contains("no service"), "{errors}");
}

#[test]
fn all_problems_are_reported_at_once() {
    let errors = Document::parse(Revision(1), "[service a]\nx = 1\ny = 2\n[what]\n").unwrap_err();
    assert!(errors.problems.len() >= 4, "{:?}", errors.problems);
}

#[test]
fn a_comparison_describes_changes_in_words() {
    let old = Document::parse(Revision(1), VALID).unwrap();
    let new = Document::parse(Revision(2), &format!("{VALID}state = draining\n")).unwrap();
    let changes: Vec<String> = compare(&old, &new).iter().map(ToString::to_string).collect();
    assert_eq!(changes, ["target claims-1 drains"]);
}

proptest! {
    // Guards against a panic on a published document with arbitrary text.
    #[test]
    fn any_text_is_parsed_without_a_panic(text in "(\\[|\\]|=|service|target|[a-z0-9:/. ,]|\n|\\PC){0,200}") {
        let _ = Document::parse(Revision(1), &text);
    }
}
