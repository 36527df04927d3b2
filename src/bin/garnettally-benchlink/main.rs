//! The adapter: the simulator's JSON wire to the module's interface and back. It decides nothing.
#![forbid(unsafe_code)]

mod host;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("garnettally-benchlink: {message}");
            ExitCode::FAILURE
        }
    }
}

/// One reply per batch, until the input ends; a reply is written only once its batch was read whole.
fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), String> {
    let mut host = host::Host::default();
    let (mut line, mut number) = (Vec::new(), 0u64);
    loop {
        line.clear();
        number += 1;
        match input.read_until(b'\n', &mut line) {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(e) => return Err(format!("line {number}: {e}")),
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let message: wire::In = serde_json::from_slice(&line).map_err(|e| format!("line {number}: {e}"))?;
        if host.take(message).map_err(|e| format!("line {number}: {e}"))? {
            output.write_all(host.reply()).map_err(|e| format!("reply: {e}"))?;
            output.flush().map_err(|e| format!("reply: {e}"))?;
        }
    }
}
