//! State dump as text and as JSON.

use flamingowalk_node::process::state_dump::{
    ConnectionSection, ElectionSection, HostSection, JobSection, MemberSection, StateDump,
    StreamSection, TargetSection,
};

fn dump() -> StateDump {
    let member = |name: &str, incarnation, linked| MemberSection {
        name: name.to_owned(),
        zone: "a".to_owned(),
        incarnation,
        linked,
        leaving: false,
    };
    StateDump {
        host: HostSection {
            name: "a-entry0".to_owned(),
            zone: "a".to_owned(),
            incarnation: 7,
            ready: true,
            draining: false,
            calls: 2,
            config_version: 5,
        },
        seat: ElectionSection {
            term: 3,
            holder: Some("a-entry0".to_owned()),
            may_start: true,
        },
        streams: vec![StreamSection {
            name: "jobs".to_owned(),
            next: 17,
            age_ms: Some(40),
            open: 1,
        }],
        members: vec![
            member("a-entry0", None, false),
            member("a-entry1", Some(9), true),
            member("a-entry2", None, true),
        ],
        connections: ConnectionSection {
            idle_to_targets: 6,
            open_links: 1,
        },
        targets: vec![TargetSection {
            name: "a-w0".to_owned(),
            zone: "a".to_owned(),
            in_flight: 2,
            slots: 8,
            leaving: true,
            health: "healthy".to_owned(),
        }],
        jobs: vec![JobSection {
            id: "j1".to_owned(),
            customer: "lope-drava".to_owned(),
            class: "night-render".to_owned(),
            zone: "a".to_owned(),
            phase: "running".to_owned(),
        }],
        planner: Some("planner a config5 term3 rebuilt true\n".to_owned()),
    }
}

#[test]
fn dump_text() {
    insta::assert_snapshot!(dump());
}

#[test]
fn dump_json() {
    let text = serde_json::to_string_pretty(&dump()).expect("JSON");
    insta::assert_snapshot!(text);
}
