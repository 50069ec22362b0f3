//! Connects the library to the simulator. The adapter reads batches of events from standard input and writes one reply
//! with actions for each batch to standard output. It only translates between the simulator's binary protocol and the
//! library's types, and decides nothing.

mod actions;
mod adapter;
mod events;
mod frame;
mod settings_text;
mod setup;

use adapter::{Adapter, AdapterError};
use frame::Batch;
use std::io::{self, BufReader, Write};
use std::process::ExitCode;

/// Exit code after invalid input or a failed read or write.
const ERROR_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::from(ERROR_EXIT_CODE)
        }
    }
}

fn run() -> Result<(), AdapterError> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut adapter = Adapter::default();
    while let Some(batch) = Batch::read(&mut input)? {
        let frame = adapter.handle(&batch)?.frame(batch.number);
        output
            .write_all(&frame)
            .and_then(|()| output.flush())
            .map_err(|error| AdapterError::Write {
                batch: batch.number,
                error,
            })?;
    }
    Ok(())
}
