//! Binary of the operator command line; the library holds the commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    flamingowalk_cli::run()
}
