//! `flamingowalk explain` on captured log lines of several hosts.

use std::path::PathBuf;

use flamingowalk_cli::explain::explain;

const LINES: &str = "\
collector front-2 1790000001.500 up=3.000 info end \"run ended\" unit=00000000000000aa.0.0.1 run=1 worker=i-1 cause=lapsed known=true
collector front-1 1790000001.000 up=2.000 info request \"request ended\" request=4 job=00000000000000aa verb=submit doubtful=false answer=accepted
some line of another program
collector front-2 1790000001.200 up=2.700 info start \"run starts\" group=00000000000000aa.0.0.1 run=1 members=1 worker=i-1 resumes=false
collector front-2 1790000001.300 up=2.800 info start \"run starts\" group=00000000000000ab.0.0.1 run=1 members=1 worker=i-1 resumes=false
collector front-1 1790000000.900 up=1.900 info request \"request refused\" request=3 path=/q/00000000000000aa verb=submit answer=no-log config=2 log_age_ms=1900
";

fn write_log_file(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("explain-{name}-{}.log", std::process::id()));
    std::fs::write(&path, LINES).expect("a file");
    path
}

#[test]
fn explain_job_lines_in_order() {
    let path = write_log_file("job");
    let text = explain("00000000000000aa", std::slice::from_ref(&path)).expect("lines");
    std::fs::remove_file(path).expect("removed");
    insta::assert_snapshot!(text, @r#"
    decisive lines:
      +0.000 collector front-1 up=1.900 info request "request refused" request=3 path=/q/00000000000000aa verb=submit answer=no-log config=2 log_age_ms=1900
      +0.600 collector front-2 up=3.000 info end "run ended" unit=00000000000000aa.0.0.1 run=1 worker=i-1 cause=lapsed known=true
    all lines:
      +0.000 collector front-1 up=1.900 info request "request refused" request=3 path=/q/00000000000000aa verb=submit answer=no-log config=2 log_age_ms=1900
      +0.100 collector front-1 up=2.000 info request "request ended" request=4 job=00000000000000aa verb=submit doubtful=false answer=accepted
      +0.300 collector front-2 up=2.700 info start "run starts" group=00000000000000aa.0.0.1 run=1 members=1 worker=i-1 resumes=false
      +0.600 collector front-2 up=3.000 info end "run ended" unit=00000000000000aa.0.0.1 run=1 worker=i-1 cause=lapsed known=true
    "#);
}

#[test]
fn explain_unknown_id_refused() {
    let path = write_log_file("unknown");
    let error = explain("00000000000000ff", std::slice::from_ref(&path)).expect_err("no line");
    std::fs::remove_file(path).expect("removed");
    assert!(error.to_string().contains("no line names"));
}

#[test]
fn explain_missing_file_refused() {
    let error = explain("x", &[PathBuf::from("/nonexistent/file.log")]).expect_err("no file");
    assert!(error.to_string().contains("cannot be read"));
}
