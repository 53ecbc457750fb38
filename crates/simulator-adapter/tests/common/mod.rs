//! Runs the adapter as a process.

use std::io::Write;
use std::process::{Command, Output, Stdio};

pub fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_fernscale-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("stdin is piped");
    let input = input.to_string();
    // A separate thread writes the input, because the replies can fill their pipe before all input is written. An invalid
    // line ends the process, which then reads no further, so a write error is ignored.
    let writer = std::thread::spawn(move || drop(stdin.write_all(input.as_bytes())));
    let output = child.wait_with_output().expect("the adapter ends");
    writer.join().expect("the input is written");
    output
}

pub fn replies(input: &str) -> String {
    let output = run(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("UTF-8")
}
