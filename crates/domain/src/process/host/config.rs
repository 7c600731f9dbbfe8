//! Records of the operator's stream: versions of the configuration and waves of upkeep.

use crate::prelude::*;
use crate::process::host::{DomainHost, skip_record};
use crate::process::stream::{StreamBody, StreamName};
use crate::process::stream_follower::FollowOutput;
use crate::version::manifest::DomainManifest;
use crate::version::wave::WaveOrder;

impl DomainHost {
    /// Applies records of the operator's stream.
    pub(super) fn handle_config(&mut self, output: FollowOutput) {
        for record in output.records {
            match record.body {
                StreamBody::Manifest(manifest) => self.adopt_manifest(manifest),
                StreamBody::Wave(number, order) => self.apply_wave(number, order),
                StreamBody::Skipped(cause) => skip_record(StreamName::Config, &cause),
                StreamBody::Worker(..) | StreamBody::Encoded(..) => {}
            }
        }
    }

    fn apply_wave(&mut self, number: WaveNumber, order: Option<Arc<WaveOrder>>) {
        match &order {
            Some(order) => self.waves.insert(number, Arc::clone(order)),
            None => self.waves.remove(&number),
        };
        if let Some(planner) = &mut self.planner {
            planner.upkeep.set_wave(number, order);
        }
    }

    /// Adopts a configuration unless the one in force is as new or newer.
    fn adopt_manifest(&mut self, manifest: Arc<DomainManifest>) {
        let known = self.manifest.as_ref().map_or(0, |known| known.version);
        if self.manifest.is_some() && manifest.version <= known {
            return;
        }
        log::info!(target: "config", version = manifest.version, before = known; "configuration in force");
        if let Some(planner) = &mut self.planner {
            planner.set_manifest(Arc::clone(&manifest));
        }
        self.manifest = Some(manifest);
    }
}
