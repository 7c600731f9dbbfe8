//! The event loop of an entry host and its connections. One loop on one thread
//! owns the state; every request, answer and timer reaches it as a typed event.
//! Input and output run in small tasks around it. Modules are laid out by life
//! span; `border` holds the only code that knows the external formats.

pub mod border;
pub mod connection;
pub mod process;
pub mod request;

pub use process::entry_host::{EntryHandle, start_host};
pub use process::host_settings::{HostSettings, SettingsErrors};
