//! Settings files for the entry hosts of a trial run in which every host is a separate
//! process. Each host takes two ports, one for callers and one for peers.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use flamingowalk_core::version::settings::SystemSettings;

use crate::exit::CommandError;
use crate::try_platform::{HOSTS_PER_ZONE, TrialPlatform, host_list_entry, host_settings};

/// Writes one file per entry host, adds the hosts to the platform's host list and
/// returns the paths of the files.
///
/// # Errors
/// Returns [`CommandError::Refused`] if a file cannot be written or the ports run out.
pub fn write_settings(
    platform: &TrialPlatform,
    settings: &SystemSettings,
    folder: &Path,
    first_port: u16,
) -> Result<Vec<PathBuf>, CommandError> {
    let write_error = |error: std::io::Error| {
        let text = format!(
            "{}: cannot be written ({error}); check the path",
            folder.display()
        );
        CommandError::Refused(text)
    };
    fs::create_dir_all(folder).map_err(write_error)?;
    let mut files = Vec::new();
    let mut port = first_port;
    for (zone, declared) in &settings.zones {
        for number in 0..HOSTS_PER_ZONE {
            let name = format!("{zone}-entry{number}");
            let caller = SocketAddr::from(([127, 0, 0, 1], port));
            let peer = SocketAddr::from(([127, 0, 0, 1], port + 1));
            port = port.checked_add(2).ok_or_else(|| {
                CommandError::Refused("the ports run out; lower --first-port".to_owned())
            })?;
            let text = host_settings(platform, &name, zone, &declared.region, caller, peer);
            let file = folder.join(&name).with_extension("ini");
            fs::write(&file, text).map_err(write_error)?;
            // The incarnation is unknown until the process starts, so the entry has zero.
            platform
                .hosts
                .add(host_list_entry(&name, zone, &declared.region, peer, 0));
            files.push(file);
        }
    }
    Ok(files)
}
