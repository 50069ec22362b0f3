//! The command line of the soak test.

use clap::Parser;
use gateway_soak::{SoakArguments, SoakError};
use std::process::ExitCode;

/// Exit code if a rule was broken.
const EXIT_RULE_BROKEN: u8 = 1;
/// Exit code if the arguments are invalid or a run could not be carried out.
const EXIT_FAILURE: u8 = 2;

fn main() -> ExitCode {
    match run_all(&SoakArguments::parse()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(broken_runs) => {
            println!("rules were broken in {broken_runs} runs");
            ExitCode::from(EXIT_RULE_BROKEN)
        }
        Err(error) => {
            eprintln!("gateway-soak: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Carries out all runs. Returns the number of runs in which a rule was broken.
fn run_all(arguments: &SoakArguments) -> Result<usize, SoakError> {
    arguments.check()?;
    let mut broken_runs = 0;
    for run_arguments in arguments.each_run() {
        let report = run_arguments.run()?;
        print!("{report}");
        broken_runs += usize::from(!report.violations.is_empty());
    }
    Ok(broken_runs)
}
