//! The commands and their options. The doc comments of the options are the help
//! texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

use crate::output::OutputFormat;

/// Operates flamingowalk, a scheduler for multi-accelerator jobs
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    generate(command_options),
    footer("Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 unreachable or unknown.")
)]
pub enum Command {
    /// Check an operator folder and report all its faults
    #[bpaf(command)]
    Check {
        /// Folder with INI files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Print the folder merged in the order of file names, with replaced keys
    #[bpaf(command)]
    Merge {
        /// Folder with INI files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Check a folder and publish it as the next configuration
    #[bpaf(command)]
    Publish {
        /// Address of the platform's log
        #[bpaf(argument("IP:PORT"))]
        log: SocketAddr,
        /// Name of the publisher, kept in the record
        #[bpaf(argument("NAME"), fallback("operator".to_owned()))]
        publisher: String,
        /// Folder with INI files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Print what a folder would change in the configuration in force
    #[bpaf(command)]
    Diff {
        /// Address of the platform's log
        #[bpaf(argument("IP:PORT"))]
        log: SocketAddr,
        /// Folder with INI files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// List the published configurations, or print the content of one
    #[bpaf(command)]
    History {
        /// Address of the platform's log
        #[bpaf(argument("IP:PORT"))]
        log: SocketAddr,
        /// Print this version's content, which can be published again as a folder
        #[bpaf(argument("NUMBER"))]
        version: Option<u64>,
        /// table or json
        #[bpaf(argument("FORMAT"), fallback(OutputFormat::Table))]
        output: OutputFormat,
    },
    /// Send one call and print its answer
    #[bpaf(command)]
    Call(#[bpaf(external(call_options))] CallOptions),
    /// Submit one job
    #[bpaf(command)]
    Submit(#[bpaf(external(submit_options))] SubmitOptions),
    /// Show one job, or an entry host with all its jobs
    #[bpaf(command)]
    Status {
        /// Address of an entry host
        #[bpaf(argument("IP:PORT"))]
        host: SocketAddr,
        /// table or json
        #[bpaf(argument("FORMAT"), fallback(OutputFormat::Table))]
        output: OutputFormat,
        /// Identifier of the job
        #[bpaf(positional("JOB"))]
        job: Option<String>,
    },
    /// Ask for the end of a job
    #[bpaf(command)]
    Cancel {
        /// Address of an entry host
        #[bpaf(argument("IP:PORT"))]
        host: SocketAddr,
        /// table or json
        #[bpaf(argument("FORMAT"), fallback(OutputFormat::Table))]
        output: OutputFormat,
        /// Identifier of the job
        #[bpaf(positional("JOB"))]
        job: String,
    },
    /// Begin the graceful shutdown of an entry host
    #[bpaf(command)]
    Drain {
        /// Address of an entry host
        #[bpaf(argument("IP:PORT"))]
        host: SocketAddr,
    },
    /// Print the state of an entry host
    #[bpaf(command)]
    Dump {
        /// Address of an entry host
        #[bpaf(argument("IP:PORT"))]
        host: SocketAddr,
        /// table or json
        #[bpaf(argument("FORMAT"), fallback(OutputFormat::Table))]
        output: OutputFormat,
    },
    /// Explain where a job would go in a planning domain, or captured log lines of it
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_options))] ExplainOptions),
    /// Run an example in this process, with stand-ins for the platform
    #[bpaf(command)]
    Try {
        /// podlaga or escolta
        #[bpaf(argument("NAME"), fallback("podlaga".to_owned()))]
        example: String,
        /// table or json
        #[bpaf(argument("FORMAT"), fallback(OutputFormat::Table))]
        output: OutputFormat,
    },
}

/// Options of an explanation: of a job that was not submitted, or of captured log lines.
#[derive(Clone, Debug, Bpaf)]
pub enum ExplainOptions {
    /// Asks the host that plans where a job would go now, without submitting it.
    Placement(#[bpaf(external(placement_options))] PlacementOptions),
    /// Explains a job, unit or worker from captured log lines.
    Captured {
        /// File with captured lines of one or more hosts; may be given more than once
        #[bpaf(
            argument("FILE"),
            some("name a job with --job, or a file with captured lines with --log")
        )]
        log: Vec<PathBuf>,
        /// Identifier of the job, unit, group or worker
        #[bpaf(positional("ID"))]
        id: String,
    },
}

/// Options of a dry run.
#[derive(Clone, Debug, Bpaf)]
pub struct PlacementOptions {
    /// Address of the status listener of the host that plans
    #[bpaf(argument("IP:PORT"))]
    pub host: SocketAddr,
    /// Queue to which the job would be submitted
    #[bpaf(argument("NAME"))]
    pub queue: String,
    /// File with the body of the submission
    #[bpaf(argument("FILE"))]
    pub job: PathBuf,
    /// Customer who would submit the job
    #[bpaf(argument("NAME"))]
    pub customer: Option<String>,
    /// table or json
    #[bpaf(argument("FORMAT"), fallback(OutputFormat::Table))]
    pub output: OutputFormat,
}

/// Options of a call.
#[derive(Clone, Debug, Bpaf)]
pub struct CallOptions {
    /// Address of an entry host
    #[bpaf(argument("IP:PORT"))]
    pub host: SocketAddr,
    /// Customer of the call
    #[bpaf(argument("NAME"))]
    pub customer: String,
    /// Request identifier, echoed with the answer
    #[bpaf(argument("TEXT"))]
    pub id: String,
    /// Time left in milliseconds
    #[bpaf(argument("MS"))]
    pub deadline_ms: Option<u64>,
    /// The call may run more than once
    pub idempotent: bool,
    /// Called service
    #[bpaf(positional("SERVICE"))]
    pub service: String,
    /// Body of the call
    #[bpaf(positional("BODY"), fallback(String::new()))]
    pub body: String,
}

/// Options of a submission.
#[derive(Clone, Debug, Bpaf)]
pub struct SubmitOptions {
    /// Address of an entry host
    #[bpaf(argument("IP:PORT"))]
    pub host: SocketAddr,
    /// Customer of the job
    #[bpaf(argument("NAME"))]
    pub customer: String,
    /// Idempotency key that names the job; submit again with the same key after
    /// an unknown outcome
    #[bpaf(argument("TEXT"))]
    pub id: String,
    /// Availability zone that must run the job
    #[bpaf(argument("NAME"))]
    pub zone: Option<String>,
    /// Time within which the job must start, in milliseconds
    #[bpaf(argument("MS"))]
    pub start_within_ms: Option<u64>,
    /// table or json
    #[bpaf(argument("FORMAT"), fallback(OutputFormat::Table))]
    pub output: OutputFormat,
    /// Job class of the operator folder
    #[bpaf(positional("CLASS"))]
    pub class: String,
}
