//! The operator command line; see the library for its verbs.

use std::process::ExitCode;

fn main() -> ExitCode {
    flamingowalk_cli::run()
}
