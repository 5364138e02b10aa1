//! Tests of the exit codes of the command line.

use std::path::PathBuf;

use jasminecart::command::{Command, Exit, Subject, command, run};
use test_case::test_case;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

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
#[test_case(&["explain", "--client", "100.64.0.7:1", "127.0.0.1:1"]; "explain without a service")]
#[test_case(&["explain", "--client", "100.64.0.7:1", "--service", "feed", "127.0.0.1:1"]; "explain with a name for an address")]
#[test_case(&["status", "localhost"]; "address that is no IP address")]
fn usage_errors_are_refused(line: &[&str]) {
    assert!(command().run_inner(line).is_err());
}

/// Serves one response on loopback and returns the address. Without a response the connection stays open.
async fn stand_in(response: Option<&'static str>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut req = vec![0; 4_096];
        let length = stream.read(&mut req).await.unwrap();
        let expected = b"GET /explain?client=100.64.0.7:1&service=198.18.0.1:443&format=text ";
        assert!(req[..length].starts_with(expected));
        match response {
            Some(response) => stream.write_all(response.as_bytes()).await.unwrap(),
            None => std::future::pending().await,
        }
    });
    address
}

// Guards against a script that takes a VM which cannot explain for one that explained, and the reverse.
#[test_case(Some("HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 2\r\n\r\nok"), Exit::Success; "explained")]
#[test_case(Some("HTTP/1.1 404 Not Found\r\ncontent-type: text/plain\r\ncontent-length: 4\r\n\r\nnone"), Exit::Negative; "unknown route")]
#[test_case(Some("HTTP/1.1 503 Service Unavailable\r\ncontent-type: text/plain\r\ncontent-length: 9\r\n\r\nnot ready"), Exit::Failure; "not ready")]
#[test_case(Some("HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nmetrics"), Exit::Failure; "build without explanations")]
#[test_case(Some("nonsense"), Exit::Failure; "no HTTP")]
#[test_case(None, Exit::Failure; "no response in time")]
#[tokio::test]
async fn explain_exit_codes(response: Option<&'static str>, expected: Exit) {
    let address = stand_in(response).await;
    let line =
        ["explain", "--client", "100.64.0.7:1", "--service", "198.18.0.1:443", address.as_str()];
    assert_eq!(run(command().run_inner(&line[..]).unwrap()).await, expected);
}

// Guards against one form of the command that hides the other.
#[test]
fn explain_serves_both_kinds_of_vm() {
    let subject = |line: &[&str]| match command().run_inner(line) {
        Ok(Command::Explain { subject, json, .. }) => (subject, json),
        other => panic!("{other:?}"),
    };
    let address = "127.0.0.1:1";
    let flow = [
        "explain",
        "--json",
        "--service",
        "1.2.3.4:5",
        "--client",
        "1.2.3.4:6",
        "--token",
        "ab",
        address,
    ];
    assert!(matches!(subject(&flow), (Subject::Address { token: Some(_), .. }, true)));
    assert!(matches!(
        subject(&["explain", "--service", "claims", address]),
        (Subject::Service { .. }, false)
    ));
    let entry_flow = ["explain", "--flow", "tcp,10.9.0.1:1,10.0.0.1:443", address];
    assert!(matches!(subject(&entry_flow), (Subject::Flow { .. }, false)));
}
