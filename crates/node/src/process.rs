//! Parts that live as long as the process: the event loop, its state and the tasks
//! that follow the log and the host list.

pub mod call_port;
pub mod config_reader;
pub mod counters;
pub mod election_port;
pub mod entry_host;
pub mod event_loop;
pub mod host_clock;
pub mod host_event;
pub mod host_poll;
pub mod host_settings;
pub mod host_state;
pub mod job_events;
pub mod job_handler;
pub mod log_events;
pub mod log_link;
pub mod log_port;
pub mod peer_client;
pub mod peer_exchange;
pub mod peer_port;
pub mod peer_server;
pub mod planner_events;
pub mod planner_port;
pub mod settings_reader;
pub mod state_dump;
pub mod usage_poll;
pub mod zone_view;
