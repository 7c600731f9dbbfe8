//! Records of the operator's stream: versions of the configuration, waves of upkeep and
//! evacuations of zones.

use crate::prelude::*;
use crate::process::host::{DomainHost, skip_record};
use crate::process::planner::evacuation::ClosedZone;
use crate::process::stream::{StreamBody, StreamName};
use crate::process::stream_follower::FollowOutput;
use crate::version::manifest::DomainManifest;
use crate::version::wave::WaveOrder;

impl DomainHost {
    /// Applies records of the operator's stream.
    pub(super) fn handle_config(&mut self, wall: WallTime, output: FollowOutput) {
        if output.is_reset {
            self.zone_reading = Some(BTreeSet::new());
            self.wave_reading = Some(BTreeMap::new());
        }
        for record in output.records {
            match record.body {
                StreamBody::Manifest(manifest) => self.adopt_manifest(manifest),
                StreamBody::Wave(number, order) => self.read_wave(number, order),
                StreamBody::Evacuation(zone, is_closed) => {
                    self.read_evacuation(wall, zone, is_closed, record.offset);
                }
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
        if output.is_complete
            && let Some(reading) = self.zone_reading.take()
        {
            let zones = self.closed_zones.keys();
            let withdrawn: Vec<_> = zones
                .filter(|zone| !reading.contains(*zone))
                .cloned()
                .collect();
            for zone in withdrawn {
                self.reopen_zone(&zone);
            }
        }
        if let Some(planner) = &mut self.planner {
            planner.confirm_orders(self.config.confirmed_at());
        }
    }

    /// Applies an evacuation or its withdrawal. While the stream is read anew, zones are closed
    /// at once but opened only when everything was read, so that no order is missed.
    fn read_evacuation(
        &mut self,
        wall: WallTime,
        zone: ZoneName,
        is_closed: bool,
        offset: StreamOffset,
    ) {
        match (&mut self.zone_reading, is_closed) {
            (Some(reading), true) => {
                reading.insert(zone.clone());
                self.close_zone(wall, zone, offset);
            }
            (Some(reading), false) => {
                reading.remove(&zone);
            }
            (None, true) => self.close_zone(wall, zone, offset),
            (None, false) => self.reopen_zone(&zone),
        }
    }

    fn close_zone(&mut self, wall: WallTime, zone: ZoneName, offset: StreamOffset) {
        let known = self.closed_zones.get(&zone);
        if known.is_none() {
            log::info!(target: "evacuation", zone = zone.as_str(), offset = offset.0; "zone closed: nothing is started there");
        }
        let since = known.map_or(wall, |known| known.since);
        self.closed_zones.insert(zone, ClosedZone { offset, since });
        self.pass_closed_zones();
    }

    fn reopen_zone(&mut self, zone: &ZoneName) {
        if self.closed_zones.remove(zone).is_some() {
            log::info!(target: "evacuation", zone = zone.as_str(); "zone open again");
            self.pass_closed_zones();
        }
    }

    fn pass_closed_zones(&mut self) {
        if let Some(planner) = &mut self.planner {
            planner.set_closed_zones(&self.closed_zones);
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
