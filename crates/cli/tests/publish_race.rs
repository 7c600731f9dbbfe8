//! Publishing through a log that fails, and against other operators.

use std::net::SocketAddr;
use std::path::PathBuf;

use flamingowalk_cli::exit::CommandError;
use flamingowalk_cli::output::OutputFormat;
use flamingowalk_cli::publish::{commit, diff, history, prepare, publish};
use flamingowalk_core::version::settings::ConfigVersion;
use flamingowalk_node::connection::http_client::HttpClient;
use flamingowalk_standin::LogStandin;
use tokio::task::LocalSet;

fn run<F: Future<Output = ()>>(test: impl FnOnce(LogStandin) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let log = LogStandin::start().await.expect("a log");
        test(log).await;
    });
}

fn example(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn settings(weight: &str) -> String {
    format!("[policy]\nweight = {weight}\n")
}

async fn put(
    log: SocketAddr,
    weight: &str,
    publisher: &str,
) -> Result<ConfigVersion, CommandError> {
    let client = HttpClient::default();
    let publication = prepare(&client, log, settings(weight), publisher).await?;
    commit(&client, log, &publication).await
}

#[test]
fn publish_same_content_again() {
    run(|log| async move {
        let folder = example("podlaga");
        let first = publish(&folder, log.address(), "a").await;
        assert_eq!(first, Ok("published config1 over config0".to_owned()));
        let again = publish(&folder, log.address(), "b").await;
        let text = "config1 already has this content; nothing to publish";
        assert_eq!(again, Ok(text.to_owned()));
        assert_eq!(log.records("config").len(), 1);
        let same = diff(&folder, log.address()).await;
        assert_eq!(same, Ok("no difference to config1".to_owned()));
    });
}

#[test]
fn publish_two_operators() {
    run(|log| async move {
        let client = HttpClient::default();
        let address = log.address();
        put(address, "0.1", "anna")
            .await
            .expect("the first version");
        let slow = prepare(&client, address, settings("0.3"), "slow")
            .await
            .expect("prepared");
        put(address, "0.2", "fast")
            .await
            .expect("the second version");
        let lost = commit(&client, address, &slow)
            .await
            .expect_err("a lost race");
        assert!(matches!(lost, CommandError::Refused(_)));
        insta::assert_snapshot!(lost);
        insta::assert_snapshot!(
            history(address, None, OutputFormat::Table)
                .await
                .expect("a list")
        );
        let older = history(address, Some(1), OutputFormat::Table).await;
        assert_eq!(older, Ok(settings("0.1")));
        let back = put(address, "0.1", "anna").await;
        assert_eq!(
            back,
            Ok(ConfigVersion(4)),
            "an older content is a new version"
        );
    });
}

/// The answer is lost after the record was written.
#[test]
fn publish_answer_lost() {
    run(|log| async move {
        let client = HttpClient::default();
        let publication = prepare(&client, log.address(), settings("0.1"), "a").await;
        log.faults().lose_nth_response(1);
        let version = commit(&client, log.address(), &publication.expect("prepared")).await;
        assert_eq!(version, Ok(ConfigVersion(1)));
        assert_eq!(log.records("config").len(), 1);
    });
}

#[test]
fn publish_log_down() {
    run(|log| async move {
        log.faults().set_down(true);
        let error = put(log.address(), "0.1", "a").await.expect_err("no log");
        assert!(matches!(error, CommandError::Unknown(_)), "{error:?}");
        log.faults().set_down(false);
        assert_eq!(put(log.address(), "0.1", "a").await, Ok(ConfigVersion(1)));
    });
}

#[test]
fn history_version_unknown() {
    run(|log| async move {
        let error = history(log.address(), Some(9), OutputFormat::Json).await;
        insta::assert_snapshot!(error.expect_err("no such version"));
    });
}
