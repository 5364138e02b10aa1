//! Tests of the exit codes of the command line.

use std::path::PathBuf;

use jasminecart::command::{Exit, command, run};
use test_case::test_case;

fn example(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    path.display().to_string()
}

// Each case writes a separate file, because cases run concurrently.
fn invalid(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, "[service a]\nhots = a.example\n").unwrap();
    path.display().to_string()
}

// Guards against an error that exits with 0: a script would then publish the document.
#[test_case("check", &[example("tarvan.ini")], Exit::Success; "valid document")]
#[test_case("check", &[invalid("check.ini")], Exit::Negative; "invalid document")]
#[test_case("check", &[example("gone.ini")], Exit::Failure; "missing document")]
#[test_case("digest", &[example("tarvan.ini")], Exit::Success; "digest")]
#[test_case("digest", &[invalid("digest.ini")], Exit::Negative; "digest of an invalid document")]
#[test_case("compare", &[example("tarvan.ini"), example("tarvan.ini")], Exit::Success; "compare")]
#[test_case("compare", &[example("tarvan.ini"), invalid("compare.ini")], Exit::Negative; "compare with an invalid document")]
#[test_case("status", &["127.0.0.1:1".to_owned()], Exit::Failure; "no daemon")]
#[tokio::test]
async fn exit_codes(name: &str, arguments: &[String], expected: Exit) {
    let mut line = vec![name];
    line.extend(arguments.iter().map(String::as_str));
    let parsed = command().run_inner(line.as_slice()).unwrap();
    assert_eq!(run(parsed).await, expected);
}

// Guards against command lines that are accepted although an argument is missing or wrong.
#[test_case(&["check"]; "missing argument")]
#[test_case(&["chekc", "a"]; "unknown command")]
#[test_case(&["explain", "127.0.0.1:1"]; "explain without a subject")]
#[test_case(&["status", "localhost"]; "address that is no IP address")]
fn usage_errors_are_refused(line: &[&str]) {
    assert!(command().run_inner(line).is_err());
}
