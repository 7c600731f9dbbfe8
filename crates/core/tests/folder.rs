//! Tests of the operator folder: merging, conversion to settings and errors.

use std::path::Path;

use flamingowalk_core::prelude::*;
use flamingowalk_core::version::settings::{BlockAdjacency, JobPriority};
use flamingowalk_core::version::{
    FolderErrors, FolderFile, check_folder, content_hash, merge_folder, parse_canonical,
};
use proptest::prelude::*;
use rstest::rstest;

const ZONE: &str = "[zone a]\nregion = r\nracks = 2\nworkers-per-rack = 2\n\
    accelerators-per-worker = 8\ncores-per-worker = 32\nmemory-gb-per-worker = 64\n\
    slots-per-worker = 8\nconnections-per-worker = 64\n";
const SERVICE: &str = "[service s]\ndefault-deadline-ms = 1000\nmax-body-kb = 64\n";
const CUSTOMER: &str = "[customer c]\nweight = 1\nmax-queued-jobs = 10\n";
const JOB: &str = "[job j]\nservice = s\ntasks = 2\naccelerators = 8\ncores = 4\n\
    memory-gb = 8\nadjacent = rack\nrun-time = 15m\n";

fn file(name: &str, text: &str) -> FolderFile {
    FolderFile {
        name: name.to_owned(),
        text: text.to_owned(),
    }
}

fn guarantee(name: &str, blocks: u32, size: u32, adjacent: &str) -> String {
    format!(
        "[guarantee c {name}]\nzone = a\nblocks = {blocks}\nsize = {size}\nadjacent = {adjacent}\n"
    )
}

/// Checks a valid folder with `extra` as its last file and returns the errors.
fn errors_with(extra: &str) -> Result<(), FolderErrors> {
    let base = [ZONE, SERVICE, CUSTOMER, JOB].concat();
    let merged = merge_folder(&[file("base.ini", &base), file("extra.ini", extra)])?;
    check_folder(&merged).map(|_| ())
}

fn example(name: &str) -> Vec<FolderFile> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let entries = std::fs::read_dir(folder.join(name)).expect("the example folder");
    entries
        .map(|entry| {
            let entry = entry.expect("an entry of the folder");
            let text = std::fs::read_to_string(entry.path()).expect("a text file");
            file(&entry.file_name().to_string_lossy(), &text)
        })
        .collect()
}

#[rstest]
#[case("podlaga", 0.2)]
#[case("escolta", 0.8)]
fn check_example_folder(#[case] name: &str, #[case] weight: f64) {
    let merged = merge_folder(&example(name)).expect("valid INI");
    let settings = check_folder(&merged).expect("a valid folder");
    let zones = settings.zones.values();
    let workers: u32 = zones.map(|zone| zone.racks * zone.workers_per_rack).sum();
    assert_eq!(workers, 48);
    assert_eq!(settings.zones.len(), 3);
    assert_eq!(settings.customers.len(), 4);
    assert!((settings.policy.weight - weight).abs() < f64::EPSILON);
    let gang = settings
        .classes
        .values()
        .map(|class| class.tasks * class.accelerators);
    assert_eq!(gang.max(), Some(32));
    assert_eq!(parse_canonical(&merged.to_string()), Ok(settings));
}

#[test]
fn check_all_keys() {
    let extra = "[job j]\ncustomer = c\npriority = urgent\nidempotent = yes\ncheckpoint = yes\n\
        attempts = 3\nadjacent = worker\ntasks = 1\nrun-time = 4h\n\
        [policy]\nweight = 0.25\ntask-lease-s = 20\n";
    let base = [ZONE, SERVICE, CUSTOMER, JOB, &guarantee("g", 1, 16, "rack")].concat();
    let merged = merge_folder(&[file("b", extra), file("a", &base)]).expect("valid INI");
    let settings = check_folder(&merged).expect("a valid folder");
    let class = &settings.classes[&ClassName::from("j")];
    assert_eq!(class.customer, Some(CustomerName::from("c")));
    assert_eq!(class.adjacency, BlockAdjacency::Worker);
    assert_eq!(class.run_time, Duration::from_hours(4));
    assert_eq!(class.priority, JobPriority::Urgent);
    assert_eq!(
        (class.tasks, class.attempts, class.memory_mb),
        (1, 3, 8_192)
    );
    assert!(class.idempotent && class.checkpoint);
    assert_eq!(settings.policy.task_lease, Duration::from_secs(20));
    assert_eq!(
        settings.customers[&CustomerName::from("c")]
            .guarantees
            .len(),
        1
    );
}

#[test]
fn merge_later_name_wins() {
    let files = [
        file("20-late.ini", "[policy]\nweight = 0.9\n"),
        file(
            "10-early.ini",
            "; comment\n[policy]\nweight = 0.1\nretry-share = 0.2\n",
        ),
    ];
    let merged = merge_folder(&files).expect("valid INI");
    insta::assert_snapshot!(merged, @r"
    [policy]
    retry-share = 0.2
    weight = 0.9
    ");
    insta::assert_snapshot!(
        merged.overridden[0],
        @"[policy] weight: `0.1` of 10-early.ini:3 is replaced by `0.9` of 20-late.ini:2"
    );
    assert_eq!(merged.overridden.len(), 1);
}

#[rstest]
#[case(
    "[policy]\nweight = 2\n",
    "extra.ini:2: [policy] weight: `2` does not do; write a number from 0 to 1"
)]
#[case(
    "[policy]\nweight = NaN\n",
    "extra.ini:2: [policy] weight: `NaN` does not do"
)]
#[case(
    "[policy]\nweight = 0.5 ; half\n",
    "extra.ini:2: [policy] weight: `0.5 ; half` does not do"
)]
#[case(
    "[policy]\n\n# more\nspeed = 3\n",
    "extra.ini:4: [policy] speed: unknown key; use one of weight, reclaim-bound-s"
)]
#[case(
    "[policies]\n",
    "extra.ini:1: [policies] unknown section; use [zone NAME]"
)]
#[case("[]\n", "extra.ini:1: unknown section; use [zone NAME]")]
#[case("[zone]\n", "extra.ini:1: [zone] unknown section")]
#[case("[zone b c]\n", "extra.ini:1: [zone b c] unknown section")]
#[case("[customer d/e]\n", "extra.ini:1: [customer d/e] `d/e` is not a name")]
#[case("weight = 1\n", "extra.ini:1: weight: outside any section")]
#[case(
    "[policy]\nweight\n",
    "extra.ini:2: neither `[section]` nor `key = value`"
)]
#[case(
    "[policy]\n   weight",
    "extra.ini:2: neither `[section]` nor `key = value`"
)]
#[case(
    "[policy]\nweight = 0.1 \\\nretry-share = 0.2\n",
    "extra.ini:2: neither"
)]
#[case("[policy\nweight = 0.1\n", "extra.ini:1: neither")]
#[case("= 0.1\n", "extra.ini:1: neither")]
#[case(
    "[policy]\nweight = 0.1\n[policy]\nweight = 0.2\n",
    "extra.ini:4: [policy] weight: set twice in one file, first on line 2"
)]
#[case(
    "[service t]\nmax-body-kb = 4\n",
    "extra.ini:1: [service t] default-deadline-ms: missing; add `default-deadline-ms = a number from 1"
)]
#[case(
    "[service s]\nmax-body-kb = -4\n",
    "extra.ini:2: [service s] max-body-kb: `-4` does not do"
)]
#[case(
    "[service s]\nhedging = maybe\n",
    "extra.ini:2: [service s] hedging: `maybe` does not do; write yes|no"
)]
#[case(
    "[job j]\nservice = t\n",
    "extra.ini:2: [job j] service: `t` is not declared; add a section `[service t]`"
)]
#[case(
    "[job j]\ncustomer = d\n",
    "extra.ini:2: [job j] customer: `d` is not declared"
)]
#[case(
    "[job j]\nattempts = 2\n",
    "extra.ini:2: [job j] attempts: 2 attempts of a job that is not idempotent"
)]
#[case(
    "[job j]\nrun-time = 15\n",
    "extra.ini:2: [job j] run-time: `15` does not do; write 90s, 15m or 4h"
)]
#[case(
    "[job j]\nrun-time = 0s\n",
    "extra.ini:2: [job j] run-time: `0s` does not do"
)]
#[case(
    "[job j]\nrun-time = 99999999999999999999h\n",
    "extra.ini:2: [job j] run-time"
)]
#[case("[job j]\nrun-time = \u{161}\n", "extra.ini:2: [job j] run-time")]
#[case(
    "[job j]\ntasks = 3\n",
    "base.ini:16: [job j] fits no zone even when it is empty"
)]
#[case(
    "[job j]\naccelerators = 9\n",
    "base.ini:16: [job j] fits no zone even when it is empty"
)]
#[case(
    "[job j]\ncores = 33\n",
    "base.ini:16: [job j] fits no zone even when it is empty"
)]
#[case(
    "[job j]\nmemory-gb = 65\n",
    "base.ini:16: [job j] fits no zone even when it is empty"
)]
#[case(
    "[job j]\ntasks = 17\naccelerators = 1\ncores = 0\nmemory-gb = 1\n",
    "base.ini:16: [job j] fits no zone even when it is empty"
)]
#[case(
    "[guarantee d g]\nzone = a\nblocks = 1\nsize = 1\nadjacent = rack\n",
    "extra.ini:1: [guarantee d g] `d` is not declared; add a section `[customer d]`"
)]
#[case(
    "[guarantee c g]\nzone = b\nblocks = 1\nsize = 1\nadjacent = rack\n",
    "extra.ini:2: [guarantee c g] zone: `b` is not declared"
)]
#[case(
    "[guarantee c g]\nzone = a\nblocks = 1\nsize = 9\nadjacent = worker\n",
    "extra.ini:4: [guarantee c g] size: a block of 9 is larger than any worker of zone a, which holds 8"
)]
#[case(
    "[guarantee c g]\nzone = a\nblocks = 3\nsize = 16\nadjacent = rack\n",
    "extra.ini:3: [guarantee c g] blocks: with the other guarantees of zone a only 2 of 3 blocks fit"
)]
#[case(
    "[zone a]\nracks = 10000\nworkers-per-rack = 10000\n",
    "extra.ini:2: [zone a] racks: 100000000 workers in one zone; declare at most 10000"
)]
fn check_one_error(#[case] extra: &str, #[case] expected: &str) {
    let errors = errors_with(extra).expect_err("an error");
    let messages: Vec<String> = errors.list().iter().map(ToString::to_string).collect();
    assert_eq!(messages.len(), 1, "{messages:?}");
    assert!(messages[0].starts_with(expected), "{}", messages[0]);
}

#[test]
fn check_reports_all_errors() {
    let extra = "[policy]\nweight = 7\nspeed = 1\n[job j]\nservice = t\nattempts = 0\n\
        [zone b]\nracks = x\n";
    let errors = errors_with(extra).expect_err("errors");
    insta::assert_snapshot!(errors);
}

#[test]
fn check_empty_folder() {
    let errors = parse_canonical("").expect_err("an error");
    insta::assert_snapshot!(errors, @r"
    1 fault in the folder
    folder: no zone is declared; add a section like `[zone NAME]`
    ");
}

#[rstest]
#[case::fills_zone(&[(4, 8, "worker")], true)]
#[case::one_too_many(&[(5, 8, "worker")], false)]
#[case::racks_and_zone(&[(1, 16, "rack"), (1, 16, "zone")], true)]
#[case::racks_and_more(&[(1, 16, "rack"), (1, 17, "zone")], false)]
#[case::rack_after_worker_halves(&[(2, 4, "worker"), (1, 16, "rack"), (1, 8, "worker")], true)]
#[case::remainders_share_worker(&[(1, 12, "rack"), (1, 4, "worker"), (2, 8, "worker")], true)]
#[case::five_do_not_halve(&[(5, 5, "worker")], false)]
#[case::rack_not_split(&[(3, 8, "worker"), (1, 10, "rack")], false)]
#[case::small_blocks(&[(8, 4, "worker")], true)]
fn check_guarantees_fit(#[case] shapes: &[(u32, u32, &str)], #[case] fits: bool) {
    let text: String = shapes
        .iter()
        .enumerate()
        .map(|(i, &(blocks, size, adjacent))| guarantee(&format!("g{i}"), blocks, size, adjacent))
        .collect();
    assert_eq!(errors_with(&text).is_ok(), fits, "{:?}", errors_with(&text));
}

#[test]
fn content_hash_known_text() {
    let empty = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    assert_eq!(content_hash(""), empty);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Any text must be either merged or refused, whatever the order in which the files
    /// are given. The canonical text of a merged folder must merge to the same text.
    #[test]
    fn merge_any_text(
        texts in proptest::collection::vec("([\\[\\]a-b=: \\\\;#\r\n\t\u{161}]|\\[a\\]\n|a=b\n){0,40}", 1..4)
    ) {
        let files: Vec<_> = texts.iter().enumerate().map(|(i, text)| file(&i.to_string(), text)).collect();
        let reversed: Vec<_> = files.iter().rev().cloned().collect();
        let merged = merge_folder(&files);
        prop_assert_eq!(&merged, &merge_folder(&reversed));
        if let Ok(merged) = merged {
            let again = merge_folder(&[file("all", &merged.to_string())]).expect("canonical text");
            prop_assert_eq!(again.to_string(), merged.to_string());
        }
    }
}

#[test]
fn check_reclaim_bound_too_short() {
    let errors = errors_with("[policy]\nreclaim-bound-s = 20\ntask-lease-s = 20\n");
    insta::assert_snapshot!(errors.expect_err("a bound within the lease"));
}
