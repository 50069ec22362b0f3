//! Puts the decisions on the simulator's wire: batches of events on standard input, one reply to each on standard
//! output. It only translates.

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

/// The exit code after input that cannot be understood.
const BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::from(BAD_INPUT)
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
