//! Contract of the host list over HTTP.

use std::time::Duration;

use flamingowalk_standin::{HostsStandin, WorkerOptions};
use flamingowalk_wire::hosts::{HostList, HostState};

use super::support::TestClient;

async fn list(hosts: &HostsStandin) -> HostList {
    let mut client = TestClient::connect(hosts.address()).await;
    client.get("/v1/hosts").await.unwrap().parse()
}

fn add_worker(hosts: &HostsStandin, name: &str) {
    let options = WorkerOptions {
        name: name.into(),
        ..WorkerOptions::default()
    };
    hosts.add(options.host_entry("127.0.0.1:1".parse().unwrap()));
}

#[tokio::test]
async fn list_follows_changes() {
    let hosts = HostsStandin::start().await.unwrap();
    add_worker(&hosts, "worker-2");
    add_worker(&hosts, "worker-1");
    hosts.mark_draining("worker-2");
    let listed = list(&hosts).await;
    let states: Vec<_> = listed
        .hosts
        .iter()
        .map(|host| (host.name.as_str(), host.state))
        .collect();
    assert_eq!(
        states,
        [
            ("worker-1", HostState::Live),
            ("worker-2", HostState::Leaving)
        ]
    );
    hosts.remove("worker-1");
    assert_eq!(list(&hosts).await.hosts.len(), 1);
}

#[tokio::test]
async fn list_lags() {
    let hosts = HostsStandin::start().await.unwrap();
    hosts.set_lag(Duration::from_hours(1));
    add_worker(&hosts, "worker-1");
    assert!(list(&hosts).await.hosts.is_empty());
    hosts.set_lag(Duration::ZERO);
    assert_eq!(list(&hosts).await.hosts.len(), 1);
}
