//! The command `try` with folder, log, entry hosts, workers and callers in one process.

use flamingowalk_cli::output::OutputFormat;
use flamingowalk_cli::try_run::run_example;
use rstest::rstest;
use tokio::task::LocalSet;

#[rstest]
#[case("podlaga")]
#[case("escolta")]
fn run_example_whole_path(#[case] name: &str) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    let result = LocalSet::new().block_on(&runtime, run_example(name, OutputFormat::Json));
    let text = result.expect("all calls answered and all jobs finished");
    let report: serde_json::Value = serde_json::from_str(&text).expect("a JSON report");
    let jobs = report["jobs"].as_array().expect("jobs");
    assert_eq!(jobs.len(), 2);
    assert_eq!(
        jobs[0]["workers"].as_array().expect("workers").len(),
        4,
        "a gang of four"
    );
    assert_eq!(report["calls"].as_array().expect("calls").len(), 8);
}

#[test]
fn run_example_unknown() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    let result = LocalSet::new().block_on(&runtime, run_example("oslo", OutputFormat::Table));
    let error = result.expect_err("no such example");
    insta::assert_snapshot!(error.to_string(), @r#"there is no example "oslo"; use podlaga or escolta"#);
}
