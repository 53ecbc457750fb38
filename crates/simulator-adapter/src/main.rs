//! The adapter between the decision module and the operators' simulator. It reads lines from standard input and writes
//! actions to standard output. It takes no decisions.

mod base64;
mod error;
mod host;
mod instance;
mod names;
mod protocol;
mod session;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use session::{Progress, Session};

/// Exit code if the output can't be written.
const OUTPUT_FAILED: u8 = 1;

/// Exit code if the input can't be read or is invalid.
const INPUT_FAILED: u8 = 2;

fn main() -> ExitCode {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut session = Session::default();
    let mut text = String::new();
    for number in 1u64.. {
        text.clear();
        match input.read_line(&mut text) {
            Ok(0) => break,
            Ok(_) => {}
            Err(error) => {
                eprintln!("line {number} can't be read: {error}");
                return ExitCode::from(INPUT_FAILED);
            }
        }
        match session.read_line(text.trim_end_matches(['\n', '\r'])) {
            Ok(Progress::BatchOpen) => {}
            Ok(Progress::BatchComplete) => {
                let reply = session.take_reply();
                let written = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
                if written.is_err() {
                    return ExitCode::from(OUTPUT_FAILED);
                }
            }
            Err(error) => {
                eprintln!("line {number}: {error}: {}", text.trim_end());
                return ExitCode::from(INPUT_FAILED);
            }
        }
    }
    ExitCode::SUCCESS
}
