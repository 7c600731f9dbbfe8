//! Contract of the log over HTTP.

use flamingowalk_standin::LogStandin;
use flamingowalk_wire::log::{AppendRequest, AppendResponse, LogRecord, ReadResponse};
use hyper::StatusCode;
use rstest::rstest;
use serde_json::json;

use super::support::TestClient;

const APPEND: &str = "/v1/streams/main/append";

fn records(count: usize) -> Vec<LogRecord> {
    let record = |number| LogRecord {
        body: json!({ "number": number }),
        id: format!("id-{number}"),
        kind: "test".into(),
        schema: 1,
    };
    (0..count).map(record).collect()
}

fn request(count: usize) -> AppendRequest {
    AppendRequest {
        records: records(count),
    }
}

#[tokio::test]
async fn traffic_counts_bytes() {
    let log = LogStandin::start().await.unwrap();
    let mut client = TestClient::connect(log.address()).await;
    let text = serde_json::to_vec(&request(9)).unwrap();
    client.post(APPEND, &request(9)).await.unwrap();
    let traffic = log.faults().traffic();
    let head = traffic.received() - text.len() as u64;
    assert!((30..300).contains(&head), "head of {head} bytes");
    assert!(traffic.sent() > 100);
}

#[tokio::test]
async fn append_offsets_are_consecutive() {
    let log = LogStandin::start().await.unwrap();
    let mut client = TestClient::connect(log.address()).await;
    client.post(APPEND, &request(2)).await.unwrap();
    let reply = client.post(APPEND, &request(3)).await.unwrap();
    let response: AppendResponse = reply.parse();
    assert_eq!((response.first_offset, response.next_offset), (2, 5));
}

#[rstest]
#[case::from_start("from=0&limit=2", &[0, 1], 2)]
#[case::from_middle("from=3", &[3, 4], 5)]
#[case::at_tail("from=5", &[], 5)]
#[case::past_tail("from=9", &[], 9)]
#[case::no_query("", &[0, 1, 2, 3, 4], 5)]
#[tokio::test]
async fn read_page(#[case] query: &str, #[case] offsets: &[u64], #[case] next: u64) {
    let log = LogStandin::start().await.unwrap();
    log.append("main", records(5));
    let mut client = TestClient::connect(log.address()).await;
    let path = format!("/v1/streams/main?{query}");
    let response: ReadResponse = client.get(&path).await.unwrap().parse();
    let read: Vec<u64> = response
        .records
        .iter()
        .map(|record| record.offset)
        .collect();
    assert_eq!(read, offsets);
    assert_eq!((response.next_offset, response.tail_offset), (next, 5));
}

#[tokio::test]
async fn read_retention_starts_at_oldest() {
    let log = LogStandin::start().await.unwrap();
    log.set_retention(2);
    log.append("main", records(5));
    let mut client = TestClient::connect(log.address()).await;
    let response: ReadResponse = client.get("/v1/streams/main?from=0").await.unwrap().parse();
    assert_eq!(response.first_offset, 3);
    assert_eq!(response.records.len(), 2);
    assert_eq!(response.next_offset, 5);
}

#[tokio::test]
async fn read_long_poll_wakes_on_append() {
    let log = LogStandin::start().await.unwrap();
    let mut reader = TestClient::connect(log.address()).await;
    let mut writer = TestClient::connect(log.address()).await;
    let read = tokio::spawn(async move { reader.get("/v1/streams/main?wait-ms=60000").await });
    while log.faults().received() == 0 {
        tokio::task::yield_now().await;
    }
    writer.post(APPEND, &request(1)).await.unwrap();
    let response: ReadResponse = read.await.unwrap().unwrap().parse();
    assert_eq!(response.records.len(), 1);
}

#[tokio::test]
async fn read_long_poll_ends_empty() {
    let log = LogStandin::start().await.unwrap();
    let mut client = TestClient::connect(log.address()).await;
    let reply = client.get("/v1/streams/main?wait-ms=5").await.unwrap();
    let response: ReadResponse = reply.parse();
    assert!(response.records.is_empty());
}

#[rstest]
#[case::down(|log: &LogStandin| log.faults().set_down(true), 0)]
#[case::answer_lost(|log: &LogStandin| log.faults().lose_responses(1), 1)]
#[case::nth_lost(|log: &LogStandin| log.faults().lose_nth_response(1), 1)]
#[tokio::test]
async fn append_without_response(#[case] fault: fn(&LogStandin), #[case] kept: usize) {
    let log = LogStandin::start().await.unwrap();
    let mut client = TestClient::connect(log.address()).await;
    client.get("/v1/streams/main").await.unwrap();
    fault(&log);
    assert!(client.post(APPEND, &request(1)).await.is_none());
    log.faults().set_down(false);
    assert_eq!(log.records("main").len(), kept);
    let mut client = TestClient::connect(log.address()).await;
    let reply = client.post(APPEND, &request(1)).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
}

#[tokio::test]
async fn append_silent_connection() {
    let log = LogStandin::start().await.unwrap();
    let mut old = TestClient::connect(log.address()).await;
    old.get("/v1/streams/main").await.unwrap();
    log.faults().silence_connections();
    let pending_append = tokio::spawn(async move { old.post(APPEND, &request(1)).await });
    while log.faults().received() < 2 {
        tokio::task::yield_now().await;
    }
    let mut new = TestClient::connect(log.address()).await;
    new.post(APPEND, &request(1)).await.unwrap();
    assert!(!pending_append.is_finished());
    assert_eq!(log.records("main").len(), 1);
}

#[rstest]
#[case::no_records(json!({ "records": [] }))]
#[case::missing_field(json!({ "records": [{ "id": "a" }] }))]
#[case::wrong_type(json!(7))]
#[tokio::test]
async fn append_malformed(#[case] body: serde_json::Value) {
    let log = LogStandin::start().await.unwrap();
    let mut client = TestClient::connect(log.address()).await;
    let reply = client.post(APPEND, &body).await.unwrap();
    assert_eq!(reply.status, StatusCode::BAD_REQUEST);
    assert_eq!(log.append_count(), 0);
}
