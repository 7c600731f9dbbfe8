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
        if output.is_reset {
            self.wave_reading = Some(BTreeMap::new());
        }
        for record in output.records {
            match record.body {
                StreamBody::Manifest(manifest) => self.adopt_manifest(manifest),
                StreamBody::Wave(number, order) => self.read_wave(number, order),
                StreamBody::Skipped(cause) => skip_record(StreamName::Config, &cause),
                StreamBody::Worker(..) | StreamBody::Encoded(..) => {}
            }
        }
        if output.is_complete
            && let Some(reading) = self.wave_reading.take()
        {
            let numbers = self.waves.keys();
            let withdrawn: Vec<_> = numbers
                .filter(|number| !reading.contains_key(number))
                .copied()
                .collect();
            for number in withdrawn {
                self.apply_wave(number, None);
            }
            for (number, order) in reading {
                self.apply_wave(number, Some(order));
            }
        }
    }

    fn read_wave(&mut self, number: WaveNumber, order: Option<Arc<WaveOrder>>) {
        let Some(reading) = &mut self.wave_reading else {
            return self.apply_wave(number, order);
        };
        match order {
            Some(order) => reading.insert(number, order),
            None => reading.remove(&number),
        };
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
