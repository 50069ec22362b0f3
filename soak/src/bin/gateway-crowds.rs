//! The command line of the load test with crowds.

use clap::Parser;
use gateway_soak::{CrowdArguments, SoakError};
use std::process::ExitCode;

/// Exit code if a gateway passed its memory limit, or an ordinary client was not served.
const EXIT_BROKEN: u8 = 1;
/// Exit code if the arguments are invalid or a run could not be carried out.
const EXIT_FAILURE: u8 = 2;

fn main() -> ExitCode {
    match run_all(&CrowdArguments::parse()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(broken_runs) => {
            println!("{broken_runs} runs were broken");
            ExitCode::from(EXIT_BROKEN)
        }
        Err(error) => {
            eprintln!("gateway-crowds: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Carries out all runs. Returns the number of runs with a violation.
fn run_all(arguments: &CrowdArguments) -> Result<usize, SoakError> {
    arguments.check()?;
    let mut broken_runs = 0;
    for run_arguments in arguments.each_run() {
        let report = run_arguments.run()?;
        print!("{report}");
        broken_runs += usize::from(!report.violations().is_empty());
    }
    Ok(broken_runs)
}
