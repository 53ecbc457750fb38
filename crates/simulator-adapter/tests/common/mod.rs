//! Runs the adapter on some input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

pub fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_fernscale-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let mut stdin = child.stdin.take().expect("piped");
    let input = input.to_string();
    // A line that can't be understood ends the process, which may then read no further. Answers fill their pipe while
    // the input is still being written.
    let writer = std::thread::spawn(move || drop(stdin.write_all(input.as_bytes())));
    let output = child.wait_with_output().expect("the binary ends");
    writer.join().expect("the input is written");
    output
}

pub fn replies(input: &str) -> String {
    let output = run(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("text")
}
