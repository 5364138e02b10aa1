//! Tests of the platform's protocol.

use std::net::SocketAddr;
use std::time::Duration;

use jasminecart_standin::http_io::{SendError, get};
use jasminecart_standin::platform::{Platform, PlatformMode, PlatformVm};
use test_case::test_case;

async fn read(platform: &Platform, path: &str) -> (u16, Option<u64>, String) {
    let response = get(platform.address(), path).await.unwrap();
    let revision = response.parts.headers.get("revision");
    let revision = revision.map(|value| value.to_str().unwrap().parse().unwrap());
    let text = String::from_utf8(response.body.to_vec()).unwrap();
    (response.parts.status.as_u16(), revision, text)
}

async fn with_documents() -> Platform {
    let platform = Platform::start().await.unwrap();
    platform.publish("first");
    platform.publish("second");
    platform
}

#[test_case("/v1/document", 200, Some(2), "second"; "read")]
#[test_case("/v1/document?after=1&wait_ms=1", 200, Some(2), "second"; "a watch at an older revision returns at once")]
#[test_case("/v1/document?after=2&wait_ms=1", 304, None, ""; "a watch without a change ends after its wait")]
#[test_case("/v1/vms", 200, None, "[]"; "list of VMs")]
#[test_case("/v1/else", 404, None, ""; "unknown path")]
#[tokio::test]
async fn each_read_returns_its_status_revision_and_body(
    path: &str,
    status: u16,
    revision: Option<u64>,
    text: &str,
) {
    let platform = with_documents().await;
    assert_eq!(read(&platform, path).await, (status, revision, text.to_owned()));
}

#[tokio::test]
async fn a_watch_ends_with_the_publication() {
    let platform = with_documents().await;
    let (response, ()) =
        tokio::join!(read(&platform, "/v1/document?after=2&wait_ms=30000"), async {
            while platform.counts().watches == 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            platform.publish("third");
        });
    assert_eq!(response, (200, Some(3), "third".to_owned()));
}

#[tokio::test]
async fn an_outage_fails_reads_and_waiting_watches() {
    let platform = with_documents().await;
    let (watch, ()) =
        tokio::join!(get(platform.address(), "/v1/document?after=2&wait_ms=30000"), async {
            while platform.counts().watches == 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            platform.set_mode(PlatformMode::Unreachable);
        });
    assert_eq!(watch.err(), Some(SendError::Broken));
    assert!(get(platform.address(), "/v1/document").await.is_err());
    platform.set_mode(PlatformMode::Current);
    assert_eq!(read(&platform, "/v1/document").await.1, Some(2));
}

// Guards against a watch that waits for a revision of before a restore, or takes one that was given out again for known.
#[tokio::test]
async fn a_restored_platform_gives_revisions_out_again_in_a_new_epoch() {
    let platform = with_documents().await;
    platform.restore(1);
    let path = "/v1/document?after=2&epoch=0&wait_ms=1";
    assert_eq!(read(&platform, path).await, (200, Some(1), "first".to_owned()));
    assert_eq!(platform.publish("third"), 2);
    assert_eq!(read(&platform, path).await, (200, Some(2), "third".to_owned()));
    let response = get(platform.address(), path).await.unwrap();
    assert_eq!(response.parts.headers["epoch"], "1");
    let current = "/v1/document?after=2&epoch=1&wait_ms=1";
    assert_eq!(read(&platform, current).await.0, 304);
}

#[tokio::test]
async fn a_reverted_platform_offers_the_old_document_and_list() {
    let platform = Platform::start().await.unwrap();
    platform.publish("first");
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    platform.set_vms(vec![PlatformVm {
        data_centre: "dc".to_owned(),
        name: "vm".to_owned(),
        control: address,
        packets: address,
        requests: address,
        leaving: false,
    }]);
    platform.publish("second");
    assert!(read(&platform, "/v1/vms").await.2.contains("\"control\":\"127.0.0.1:1\""));
    platform.set_mode(PlatformMode::Behind { revision: 1 });
    assert_eq!(read(&platform, "/v1/document").await.1, Some(1));
    assert_eq!(read(&platform, "/v1/vms").await.2, "[]");
    // A watch for a revision newer than the newest one must not return an old document.
    assert_eq!(read(&platform, "/v1/document?after=2&wait_ms=1").await.0, 304);
}
