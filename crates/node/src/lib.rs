//! The event loop of an entry host and its connections. One loop on one thread owns the
//! state; every request, response and timer reaches it as a typed event. Input and output
//! run in small tasks around it. Modules are grouped by lifetime: what lives as long as
//! the process, a connection or a request. `border` holds the only code that knows the
//! external formats.

pub mod border;
pub mod connection;
pub mod process;
pub mod request;

pub use process::entry_host::{EntryHandle, start_host};
pub use process::host_settings::{HostSettings, SettingsErrors};
