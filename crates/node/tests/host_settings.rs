//! Settings of an entry host: defaults and every kind of error.

use flamingowalk_core::prelude::*;
use flamingowalk_node::HostSettings;

const VALID_SETTINGS: &str = "[host]\nname = a-entry0\nzone = a\nregion = r\n\
    [listen]\ncaller = 127.0.0.1:7000\npeer = 127.0.0.1:7001\n\
    [platform]\nlog = 127.0.0.1:7100\nhosts = 127.0.0.1:7200\n[peer]\nsecret = s\n";

#[test]
fn parse_defaults() {
    let settings = HostSettings::parse("host.ini", VALID_SETTINGS).expect("valid settings");
    assert_eq!(settings.name.as_str(), "a-entry0");
    assert_eq!(settings.list_interval, Duration::from_secs(1));
    assert_eq!(settings.leader_lease_duration, Duration::from_secs(4));
    assert_eq!(settings.drain_limit, Duration::from_mins(1));
    assert_eq!(settings.buffered_bytes, 64 * 1024 * 1024);
    assert_eq!(settings.client_connections, 2_048);
    assert_eq!(settings.peer_connections, 1_024);
}

#[test]
fn parse_all_errors() {
    let text = "[host]\nname = a\nzone =\n[listen]\ncaller = localhost:7000\n\
        [platform]\nlog = 127.0.0.1:7100\nhosts = 127.0.0.1:7200\nhosts-interval-ms = -5\n\
        [drain]\nwait-ms = 9000\nlimit-ms = 10\n[seat]\ntime-ms = 5\noutage-ms = 5\n[peer]\nsecrt = x\n";
    let errors = HostSettings::parse("host.ini", text).expect_err("invalid settings");
    insta::assert_snapshot!(errors.to_string());
}

/// Guards against a limit of zero, under which a host would serve nobody.
#[test]
fn parse_limits_of_zero() {
    let text =
        VALID_SETTINGS.to_owned() + "connections = 0\n[clients]\nbuffer-kb = 0\nconnections = -1\n";
    let errors = HostSettings::parse("host.ini", &text).expect_err("invalid settings");
    let keys: Vec<_> = errors.errors.iter().map(|error| &*error.key).collect();
    assert_eq!(keys, ["connections", "buffer-kb", "connections"]);
}

#[test]
fn parse_not_ini() {
    let errors = HostSettings::parse("host.ini", "[host\nname").expect_err("invalid INI");
    insta::assert_snapshot!(errors.to_string());
}
