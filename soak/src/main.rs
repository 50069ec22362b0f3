//! The command line of the soak test.

use clap::Parser;
use gateway_soak::Soak;
use std::process::ExitCode;

/// Exit code of a run in which a rule was broken.
const EXIT_RULE_BROKEN: u8 = 1;
/// Exit code of a run that could not be made.
const EXIT_FAILURE: u8 = 2;

fn main() -> ExitCode {
    match Soak::parse().run() {
        Ok(report) => {
            print!("{report}");
            if report.violations.is_empty() {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(EXIT_RULE_BROKEN)
            }
        }
        Err(error) => {
            eprintln!("gateway-soak: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
