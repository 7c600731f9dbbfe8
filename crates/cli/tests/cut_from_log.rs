//! A host that cannot reach the log gets the configuration from its peers and serves
//! calls. It refuses job requests with an error that says the job did not run, and
//! writes nothing to the log.

use flamingowalk_cli::caller_commands::{call, submit};
use flamingowalk_cli::command::{CallOptions, SubmitOptions};
use flamingowalk_cli::exit::CommandError;
use flamingowalk_cli::output::OutputFormat;
use flamingowalk_cli::try_platform::{TrialPlatform, example_folder, host_settings};
use flamingowalk_node::{HostSettings, start_host};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

#[test]
fn serve_without_log() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let example = example_folder("escolta").expect("the example");
        let platform = TrialPlatform::start(&example.settings)
            .await
            .expect("a platform");
        let closed = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let closed_address = closed.local_addr().expect("an address");
        drop(closed);
        let (zone, declared) = example.settings.zones.first_key_value().expect("a zone");
        let any_port = "127.0.0.1:0".parse().expect("an address");
        let text = host_settings(&platform, "cut", zone, &declared.region, any_port, any_port);
        let text = text.replace(
            &platform.log.address().to_string(),
            &closed_address.to_string(),
        );
        let settings = HostSettings::parse("cut.ini", &text).expect("sound settings");
        let isolated = start_host(settings, None).await.expect("a host");
        platform.publish(&example);
        platform.wait_ready().await.expect("ready hosts");
        let options = |id: String| CallOptions {
            host: isolated.address,
            customer: example
                .settings
                .customers
                .keys()
                .next()
                .expect("a customer")
                .to_string(),
            id,
            deadline_ms: None,
            idempotent: true,
            service: example
                .settings
                .services
                .keys()
                .next()
                .expect("a service")
                .to_string(),
            body: String::new(),
        };
        let mut number = 0;
        while call(options(format!("call-{number}"))).await.is_err() {
            number += 1;
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        let submission = SubmitOptions {
            host: isolated.address,
            customer: options(String::new()).customer,
            id: "j".to_owned(),
            zone: None,
            start_within_ms: None,
            output: OutputFormat::Table,
            class: example
                .settings
                .classes
                .keys()
                .next()
                .expect("a class")
                .to_string(),
        };
        let refused = submit(submission).await.expect_err("no log, no job");
        let CommandError::Refused(body) = refused else {
            panic!("{refused:?}")
        };
        insta::assert_snapshot!(body);
        assert!(platform.log.records("jobs").is_empty());
    });
}
