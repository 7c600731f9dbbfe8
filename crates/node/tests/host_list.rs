//! Reads of the host list: unchanged lists, and the read interval for long lists.

use flamingowalk_core::prelude::*;
use flamingowalk_node::border::hosts::read_hosts;
use flamingowalk_node::connection::http_client::HttpClient;
use flamingowalk_node::process::host_poll::rate_limited_interval;
use flamingowalk_standin::{HostsStandin, WorkerOptions};
use rstest::rstest;

#[tokio::test]
async fn read_hosts_unchanged() {
    let hosts = HostsStandin::start().await.expect("a list");
    let address = "127.0.0.1:9".parse().expect("an address");
    hosts.add(WorkerOptions::default().host_entry(address));
    let client = HttpClient::default();
    let first = read_hosts(&client, hosts.address(), None)
        .await
        .expect("a list");
    let first = first.expect("the first read returns the list");
    assert_eq!(first.workers.len(), 1);
    let known = Some(first.revision);
    let same = read_hosts(&client, hosts.address(), known)
        .await
        .expect("a response");
    assert_eq!(same, None);
    hosts.mark_draining(first.workers[0].record.name.as_str());
    let newer = read_hosts(&client, hosts.address(), known)
        .await
        .expect("a response");
    assert!(newer.expect("a newer list").workers[0].record.draining);
}

#[rstest]
#[case::small(2_048, 500)]
#[case::reference_size(121 * 1024, 30_250)]
fn rate_limited_interval_of_size(#[case] bytes: u64, #[case] millis: u64) {
    assert_eq!(rate_limited_interval(bytes), Duration::from_millis(millis));
}
