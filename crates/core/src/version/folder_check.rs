//! Converts a merged folder to settings. Checks values, references and capacities,
//! and reports all errors at once.

use std::ops::RangeInclusive;

use crate::prelude::*;
use crate::version::capacity_check::{
    adjacency_label, fits_class, largest_block, place_guarantees,
};
use crate::version::folder_error::{FolderError, FolderErrorKind, FolderErrors, SettingLocation};
use crate::version::merged_folder::{FolderFile, MergedFolder, MergedSection, merge_folder};
use crate::version::section_reader::{SectionReader, is_name, section_error};
use crate::version::settings::{
    BlockAdjacency, CustomerSettings, GuaranteedShape, JobClass, JobPriority, PolicySettings,
    ServiceSettings, SystemSettings, ZoneSettings,
};

/// Forms that a section may take.
const SECTION_FORMS: &str = "[zone NAME], [service NAME], [customer NAME], \
                             [guarantee CUSTOMER NAME], [job CLASS] or [policy]";
/// Maximum number of workers in one zone.
const MAX_ZONE_WORKERS: u64 = 10_000;
/// File name in errors about the settings of a log record.
const RECORD_FILE: &str = "settings";

const COUNT_RANGE: RangeInclusive<u32> = 1..=10_000;
const COUNT_OR_ZERO_RANGE: RangeInclusive<u32> = 0..=10_000;
const CUSTOMER_LIMIT_RANGE: RangeInclusive<u32> = 0..=1_000_000;
const DEADLINE_RANGE_MS: RangeInclusive<u64> = 1..=3_600_000;
const BODY_RANGE_KB: RangeInclusive<u64> = 1..=1_048_576;
const MEMORY_RANGE_GB: RangeInclusive<u64> = 1..=1_048_576;
const BOUND_RANGE_SECS: RangeInclusive<u64> = 1..=86_400;
const SHARE_RANGE: RangeInclusive<f64> = 0.0..=1.0;

const ADJACENCIES: [(&str, BlockAdjacency); 3] = [
    ("worker", BlockAdjacency::Worker),
    ("rack", BlockAdjacency::Rack),
    ("zone", BlockAdjacency::Zone),
];
const PRIORITIES: [(&str, JobPriority); 3] = [
    ("urgent", JobPriority::Urgent),
    ("normal", JobPriority::Normal),
    ("batch", JobPriority::Batch),
];

/// Converts a merged folder to settings.
///
/// # Errors
///
/// Returns all errors, each with file, line, section, key and remedy.
pub fn check_folder(merged: &MergedFolder) -> Result<SystemSettings, FolderErrors> {
    let mut check = FolderCheck {
        merged,
        settings: SystemSettings::default(),
        shapes: Vec::new(),
        errors: Vec::new(),
    };
    for (name, section) in &merged.sections {
        check.read_section(name, section);
    }
    check.check_zones();
    check.check_classes();
    check.check_guarantees();
    check.assign_guarantees();
    match FolderErrors::from_list(check.errors) {
        Some(errors) => Err(errors),
        None => Ok(check.settings),
    }
}

/// Parses the canonical text of a log record.
///
/// # Errors
///
/// Returns all errors, as for a folder of one file.
pub fn parse_canonical(text: &str) -> Result<SystemSettings, FolderErrors> {
    let file = FolderFile {
        name: RECORD_FILE.to_owned(),
        text: text.to_owned(),
    };
    check_folder(&merge_folder(&[file])?)
}

/// A guarantee and the section that declares it.
struct DeclaredShape<'a> {
    section: &'a str,
    customer: CustomerName,
    shape: GuaranteedShape,
}

struct FolderCheck<'a> {
    merged: &'a MergedFolder,
    settings: SystemSettings,
    shapes: Vec<DeclaredShape<'a>>,
    errors: Vec<FolderError>,
}

impl<'a> FolderCheck<'a> {
    fn read_section(&mut self, name: &'a str, section: &'a MergedSection) {
        let words: Vec<&str> = name.split(' ').collect();
        let names = &words[1..];
        if let Some(invalid) = names.iter().find(|name| !is_name(name)) {
            let name_error = FolderErrorKind::BadName {
                name: (*invalid).to_owned(),
            };
            self.errors
                .push(section_error(name, section, "", name_error));
            return;
        }
        let mut reader = SectionReader::new(name, section);
        match (words[0], names) {
            ("zone", [zone]) => self.add_zone(zone, &mut reader),
            ("service", [service]) => self.add_service(service, &mut reader),
            ("customer", [customer]) => self.add_customer(customer, &mut reader),
            ("guarantee", [customer, _]) => self.add_guarantee(name, customer, &mut reader),
            ("job", [class]) => self.add_class(class, &mut reader),
            ("policy", []) => self.set_policy(&mut reader),
            _ => return self.push_unknown_section(name, section),
        }
        self.errors.extend(reader.finish());
    }

    fn push_unknown_section(&mut self, name: &str, section: &MergedSection) {
        let known = SECTION_FORMS;
        let kind = FolderErrorKind::UnknownSection { known };
        self.errors.push(section_error(name, section, "", kind));
    }

    fn add_zone(&mut self, zone: &str, reader: &mut SectionReader<'_>) {
        if let Some(settings) = read_zone(reader) {
            self.settings.zones.insert(ZoneName::from(zone), settings);
        }
    }

    fn add_service(&mut self, service: &str, reader: &mut SectionReader<'_>) {
        if let Some(settings) = read_service(reader) {
            let service = ServiceName::from(service);
            self.settings.services.insert(service, settings);
        }
    }

    fn add_customer(&mut self, customer: &str, reader: &mut SectionReader<'_>) {
        if let Some(settings) = read_customer(reader) {
            let customer = CustomerName::from(customer);
            self.settings.customers.insert(customer, settings);
        }
    }

    fn add_guarantee(&mut self, section: &'a str, customer: &str, reader: &mut SectionReader<'_>) {
        self.check_reference(reader, "", "customer", Some(customer));
        let shape = self.read_shape(reader);
        if let Some(shape) = shape {
            self.shapes.push(DeclaredShape {
                section,
                customer: CustomerName::from(customer),
                shape,
            });
        }
    }

    fn add_class(&mut self, class: &str, reader: &mut SectionReader<'_>) {
        if let Some(settings) = self.read_class(reader) {
            let class = ClassName::from(class);
            self.settings.classes.insert(class, settings);
        }
    }

    fn set_policy(&mut self, reader: &mut SectionReader<'_>) {
        if let Some(policy) = read_policy(reader) {
            self.settings.policy = policy;
        }
    }

    fn read_shape(&self, reader: &mut SectionReader<'_>) -> Option<GuaranteedShape> {
        let zone = reader.name("zone");
        let blocks = reader.number("blocks", &COUNT_RANGE);
        let size = reader.number("size", &COUNT_RANGE);
        let adjacency = reader.choice("adjacent", &ADJACENCIES);
        self.check_reference(reader, "zone", "zone", zone);
        Some(GuaranteedShape {
            zone: ZoneName::from(zone?),
            blocks: blocks?,
            size: size?,
            adjacency: adjacency?,
        })
    }

    fn read_class(&self, reader: &mut SectionReader<'_>) -> Option<JobClass> {
        let customer = reader.optional_name("customer");
        let service = reader.name("service");
        let tasks = reader.number("tasks", &COUNT_RANGE);
        let accelerators = reader.number("accelerators", &COUNT_OR_ZERO_RANGE);
        let cores = reader.number("cores", &COUNT_OR_ZERO_RANGE);
        let memory_gb = reader.number("memory-gb", &MEMORY_RANGE_GB);
        let adjacency = reader.choice_or("adjacent", &ADJACENCIES, BlockAdjacency::Zone);
        let run_time = reader.run_time("run-time");
        let priority = reader.choice_or("priority", &PRIORITIES, JobPriority::Normal);
        let idempotent = reader.flag("idempotent");
        let checkpoint = reader.flag("checkpoint");
        let attempts = reader.number_or("attempts", &COUNT_RANGE, 1);
        self.check_reference(reader, "customer", "customer", customer.flatten());
        self.check_reference(reader, "service", "service", service);
        check_attempts(reader, attempts, idempotent);
        Some(JobClass {
            customer: customer?.map(CustomerName::from),
            service: ServiceName::from(service?),
            tasks: tasks?,
            accelerators: accelerators?,
            cores: cores?,
            memory_mb: memory_gb? * 1_024,
            adjacency: adjacency?,
            run_time: run_time?,
            priority: priority?,
            idempotent: idempotent?,
            checkpoint: checkpoint?,
            attempts: attempts?,
        })
    }

    /// Reports a reference to a section that is not declared. A declared section counts
    /// even if it is invalid, so that one mistake is reported once.
    fn check_reference(
        &self,
        reader: &mut SectionReader<'_>,
        key: &str,
        section: &'static str,
        name: Option<&str>,
    ) {
        let Some(name) = name else { return };
        if !self.merged.has_section(&format!("{section} {name}")) {
            let name = name.to_owned();
            reader.push_error(key, FolderErrorKind::UnknownReference { section, name });
        }
    }

    /// Checks that zones are declared and not too large. Removes zones that are too
    /// large, so that later checks stay cheap.
    fn check_zones(&mut self) {
        if !self.merged.sections.keys().any(|s| s.starts_with("zone ")) {
            self.errors.push(FolderError {
                location: SettingLocation::default(),
                section: String::new(),
                key: String::new(),
                kind: FolderErrorKind::NoZone,
            });
        }
        let zones = std::mem::take(&mut self.settings.zones);
        for (name, zone) in zones {
            let workers = u64::from(zone.racks) * u64::from(zone.workers_per_rack);
            let limit = MAX_ZONE_WORKERS;
            if workers > limit {
                let kind = FolderErrorKind::ZoneTooLarge { workers, limit };
                self.error_at(&format!("zone {name}"), "racks", kind);
            } else {
                self.settings.zones.insert(name, zone);
            }
        }
    }

    /// Checks that each class fits some zone. Skipped while the section of any zone is
    /// invalid, since the class could fit that zone.
    fn check_classes(&mut self) {
        let zones = &self.settings.zones;
        let declared = |s: &&String| s.starts_with("zone ");
        if zones.len() < self.merged.sections.keys().filter(declared).count() {
            return;
        }
        let too_large: Vec<ClassName> = self
            .settings
            .classes
            .iter()
            .filter(|(_, class)| !zones.values().any(|zone| fits_class(zone, class)))
            .map(|(name, _)| name.clone())
            .collect();
        for name in too_large {
            self.error_at(&format!("job {name}"), "", FolderErrorKind::JobTooLarge);
        }
    }

    fn check_guarantees(&mut self) {
        let zones = std::mem::take(&mut self.settings.zones);
        for (name, zone) in &zones {
            self.check_blocks(name, zone);
            self.check_zone_guarantees(name, zone);
        }
        self.settings.zones = zones;
    }

    fn check_blocks(&mut self, name: &ZoneName, zone: &ZoneSettings) {
        let mut errors = Vec::new();
        for declared in self.shapes.iter().filter(|d| &d.shape.zone == name) {
            let shape = &declared.shape;
            let limit = largest_block(zone, shape.adjacency);
            if u64::from(shape.size) > limit {
                let kind = FolderErrorKind::BlockTooLarge {
                    size: shape.size,
                    adjacent: adjacency_label(shape.adjacency),
                    zone: name.to_string(),
                    limit,
                };
                errors.push((declared.section, kind));
            }
        }
        for (section, kind) in errors {
            self.error_at(section, "size", kind);
        }
    }

    fn check_zone_guarantees(&mut self, name: &ZoneName, zone: &ZoneSettings) {
        let within: Vec<&DeclaredShape<'_>> = self
            .shapes
            .iter()
            .filter(|d| &d.shape.zone == name)
            .filter(|d| u64::from(d.shape.size) <= largest_block(zone, d.shape.adjacency))
            .collect();
        let shapes: Vec<GuaranteedShape> = within.iter().map(|d| d.shape.clone()).collect();
        let placed = place_guarantees(zone, &shapes);
        let errors: Vec<(&str, FolderErrorKind)> = within
            .iter()
            .zip(placed)
            .filter(|(declared, placed)| *placed < declared.shape.blocks)
            .map(|(declared, placed)| {
                let kind = FolderErrorKind::GuaranteesTooLarge {
                    zone: name.to_string(),
                    placed,
                    blocks: declared.shape.blocks,
                };
                (declared.section, kind)
            })
            .collect();
        for (section, kind) in errors {
            self.error_at(section, "blocks", kind);
        }
    }

    fn assign_guarantees(&mut self) {
        for declared in std::mem::take(&mut self.shapes) {
            if let Some(customer) = self.settings.customers.get_mut(&declared.customer) {
                customer.guarantees.push(declared.shape);
            }
        }
    }

    fn error_at(&mut self, name: &str, key: &str, kind: FolderErrorKind) {
        if let Some(section) = self.merged.sections.get(name) {
            self.errors.push(section_error(name, section, key, kind));
        }
    }
}

fn check_attempts(reader: &mut SectionReader<'_>, attempts: Option<u32>, idempotent: Option<bool>) {
    if let (Some(attempts), Some(false)) = (attempts, idempotent)
        && attempts > 1
    {
        reader.push_error("attempts", FolderErrorKind::UnsafeAttempts { attempts });
    }
}

fn read_zone(reader: &mut SectionReader<'_>) -> Option<ZoneSettings> {
    let region = reader.name("region");
    let racks = reader.number("racks", &COUNT_RANGE);
    let workers_per_rack = reader.number("workers-per-rack", &COUNT_RANGE);
    let accelerators = reader.number("accelerators-per-worker", &COUNT_OR_ZERO_RANGE);
    let cores = reader.number("cores-per-worker", &COUNT_RANGE);
    let memory_gb = reader.number("memory-gb-per-worker", &MEMORY_RANGE_GB);
    let slots = reader.number("slots-per-worker", &COUNT_RANGE);
    let connections = reader.number("connections-per-worker", &COUNT_RANGE);
    Some(ZoneSettings {
        region: RegionName::from(region?),
        racks: racks?,
        workers_per_rack: workers_per_rack?,
        accelerators_per_worker: accelerators?,
        cores_per_worker: cores?,
        memory_mb_per_worker: memory_gb? * 1_024,
        slots_per_worker: slots?,
        connections_per_worker: connections?,
    })
}

fn read_service(reader: &mut SectionReader<'_>) -> Option<ServiceSettings> {
    let deadline_ms = reader.number("default-deadline-ms", &DEADLINE_RANGE_MS);
    let body_kb = reader.number("max-body-kb", &BODY_RANGE_KB);
    let hedging = reader.flag("hedging");
    Some(ServiceSettings {
        default_deadline: Duration::from_millis(deadline_ms?),
        max_body_bytes: body_kb? * 1_024,
        hedging: hedging?,
    })
}

fn read_customer(reader: &mut SectionReader<'_>) -> Option<CustomerSettings> {
    let weight = reader.number("weight", &COUNT_RANGE);
    let max_calls = reader.number_or("max-calls", &CUSTOMER_LIMIT_RANGE, 0);
    let max_queued_jobs = reader.number("max-queued-jobs", &CUSTOMER_LIMIT_RANGE);
    Some(CustomerSettings {
        weight: weight?,
        max_calls: max_calls?,
        max_queued_jobs: max_queued_jobs?,
        guarantees: Vec::new(),
    })
}

fn read_policy(reader: &mut SectionReader<'_>) -> Option<PolicySettings> {
    let default = PolicySettings::default();
    let weight = reader.number_or("weight", &SHARE_RANGE, default.weight);
    let reclaim = reader.number_or(
        "reclaim-bound-s",
        &BOUND_RANGE_SECS,
        default.reclaim_bound.as_secs(),
    );
    let lease = reader.number_or(
        "task-lease-s",
        &BOUND_RANGE_SECS,
        default.task_lease.as_secs(),
    );
    let gang_age = reader.number_or(
        "gang-age-bound-s",
        &BOUND_RANGE_SECS,
        default.gang_age_bound.as_secs(),
    );
    let quarantine = reader.number_or("quarantine-share", &SHARE_RANGE, default.quarantine_share);
    let retry = reader.number_or("retry-share", &SHARE_RANGE, default.retry_share);
    if let (Some(reclaim), Some(lease)) = (reclaim, lease)
        && reclaim <= lease
    {
        reader.push_error("reclaim-bound-s", FolderErrorKind::BoundTooShort { lease });
    }
    Some(PolicySettings {
        weight: weight?,
        reclaim_bound: Duration::from_secs(reclaim?),
        task_lease: Duration::from_secs(lease?),
        gang_age_bound: Duration::from_secs(gang_age?),
        quarantine_share: quarantine?,
        retry_share: retry?,
    })
}
