//! Publishing configurations while the log fails, and concurrently with other
//! operators.

use std::net::SocketAddr;
use std::path::PathBuf;

use flamingowalk_cli::exit::CommandError;
use flamingowalk_cli::output::OutputFormat;
use flamingowalk_cli::publish::{commit, diff, history, prepare, publish};
use flamingowalk_core::version::settings::ConfigVersion;
use flamingowalk_node::connection::http_client::HttpClient;
use flamingowalk_standin::LogStandin;
use tokio::task::LocalSet;

fn with_log<F: Future<Output = ()>>(test: impl FnOnce(LogStandin) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let log = LogStandin::start().await.expect("a log");
        test(log).await;
    });
}

fn example_folder(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn settings_with_weight(weight: &str) -> String {
    format!("[policy]\nweight = {weight}\n")
}

async fn publish_weight(
    log: SocketAddr,
    weight: &str,
    publisher: &str,
) -> Result<ConfigVersion, CommandError> {
    let client = HttpClient::default();
    let publication = prepare(&client, log, settings_with_weight(weight), publisher).await?;
    commit(&client, log, &publication).await
}

#[test]
fn publish_same_content_again() {
    with_log(|log| async move {
        let folder = example_folder("podlaga");
        let first = publish(&folder, log.address(), "a").await;
        assert_eq!(first, Ok("published config1 over config0".to_owned()));
        let again = publish(&folder, log.address(), "b").await;
        let text = "config1 already has this content; nothing to publish";
        assert_eq!(again, Ok(text.to_owned()));
        assert_eq!(log.records("config").len(), 1);
        let difference = diff(&folder, log.address()).await;
        assert_eq!(difference, Ok("no difference to config1".to_owned()));
    });
}

#[test]
fn publish_two_operators() {
    with_log(|log| async move {
        let client = HttpClient::default();
        let address = log.address();
        publish_weight(address, "0.1", "anna")
            .await
            .expect("the first version");
        let slow = prepare(&client, address, settings_with_weight("0.3"), "slow")
            .await
            .expect("prepared");
        publish_weight(address, "0.2", "fast")
            .await
            .expect("the second version");
        let error = commit(&client, address, &slow)
            .await
            .expect_err("a lost race");
        assert!(matches!(error, CommandError::Refused(_)));
        insta::assert_snapshot!(error);
        insta::assert_snapshot!(
            history(address, None, OutputFormat::Table)
                .await
                .expect("a list")
        );
        let older_content = history(address, Some(1), OutputFormat::Table).await;
        assert_eq!(older_content, Ok(settings_with_weight("0.1")));
        let back = publish_weight(address, "0.1", "anna").await;
        assert_eq!(
            back,
            Ok(ConfigVersion(4)),
            "an older content is a new version"
        );
    });
}

/// The log's response is lost after the record was written; reading the log must tell
/// that the publication succeeded.
#[test]
fn publish_response_lost() {
    with_log(|log| async move {
        let client = HttpClient::default();
        let publication = prepare(&client, log.address(), settings_with_weight("0.1"), "a").await;
        log.faults().lose_nth_response(1);
        let version = commit(&client, log.address(), &publication.expect("prepared")).await;
        assert_eq!(version, Ok(ConfigVersion(1)));
        assert_eq!(log.records("config").len(), 1);
    });
}

#[test]
fn publish_log_down() {
    with_log(|log| async move {
        log.faults().set_down(true);
        let error = publish_weight(log.address(), "0.1", "a")
            .await
            .expect_err("no log");
        assert!(matches!(error, CommandError::Unknown(_)), "{error:?}");
        log.faults().set_down(false);
        assert_eq!(
            publish_weight(log.address(), "0.1", "a").await,
            Ok(ConfigVersion(1))
        );
    });
}

#[test]
fn history_version_unknown() {
    with_log(|log| async move {
        let error = history(log.address(), Some(9), OutputFormat::Json).await;
        insta::assert_snapshot!(error.expect_err("no such version"));
    });
}
