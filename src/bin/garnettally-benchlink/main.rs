//! The adapter between the simulator and the decision module: it translates the simulator's JSON messages
//! into events of the module, and the module's actions into messages of the reply. It makes no decisions
//! itself.
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

/// Reads batches until the input ends and writes one reply for each. A reply is written only after its batch
/// has been read completely.
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
        let message: wire::Incoming =
            serde_json::from_slice(&line).map_err(|e| format!("line {number}: {e}"))?;
        if host.handle(message).map_err(|e| format!("line {number}: {e}"))? {
            output.write_all(host.reply()).map_err(|e| format!("can't write the reply: {e}"))?;
            output.flush().map_err(|e| format!("can't write the reply: {e}"))?;
        }
    }
}
