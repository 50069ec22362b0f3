//! Plays one case of the review: starts the gateway between stand-ins, plays the disruption and judges what clients,
//! quote servers and the platform saw.
//!
//!     play CASE RECORD FOLDER
//!
//! `RECORD` is the file for the record, `FOLDER` an empty folder for the gateway's files. It has to be started in the
//! root of the repository. With `TROUBLE=0` in the environment the disruption is left out.
//!
//! Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.

mod client;
mod http;
mod memory;
mod pipeline;
mod platform;
mod proxy;
mod record;
mod site;
mod spoilt_answers;
mod stopped_clients;

use record::Record;
use spoilt_answers::Fault;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

/// The inputs of a run.
pub struct Run {
    /// False if the disruption is left out.
    pub trouble: bool,
    /// Folder for the gateway's files.
    pub folder: PathBuf,
}

/// The result of a run.
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [case, record_path, folder] = arguments.as_slice() else {
        eprintln!("usage: play CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let run = Run {
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        folder: folder.into(),
    };
    let record = Arc::new(Record::new());
    let result = match case.as_str() {
        "late-answer" => spoilt_answers::run(&run, Fault::LateSecondCopy, &record),
        "short-length" => spoilt_answers::run(&run, Fault::ShortLength, &record),
        "pipeline" => pipeline::run(&run, &record),
        "memory" => memory::run(&run, &record),
        "stopped-clients" => stopped_clients::run(&run, &record),
        _ => Err(std::io::Error::other("unknown case")),
    };
    let outcome = result.unwrap_or_else(|error| {
        record.say(format!("the case could not run: {error}"));
        Outcome::NotRun
    });
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held", 0),
        Outcome::Broken => ("the rule was broken", 1),
        Outcome::NotRun => ("the case could not run", 2),
    };
    record.say(text.to_owned());
    if let Err(error) = record.write(&PathBuf::from(record_path)) {
        eprintln!("the record could not be written: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
