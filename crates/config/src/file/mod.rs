//! Reads and checks the operator's file and fills in its defaults.
//!
//! [`mod@format`] defines the keys of the file, `check` and `fleet` hold the checks and defaults, and
//! [`problems`] collects all problems of a file, so that they are reported together. `docs/configuration.md`
//! is the page for operators.

mod check;
mod fleet;
pub mod format;
pub mod problems;

pub use check::{Listener, Logging, OperatorConfig, Pool, PoolIdentity, PoolNodes};
pub use fleet::{Duties, Export, Fleet};
pub use problems::{KeyPath, KeyStep, Problem, Problems};

use check::Checker;
use garnettally_model::Listing;
use problems::Document;
use serde_json::Value;
use std::net::SocketAddr;

/// The largest file that is read.
pub const MAX_FILE_BYTES: u64 = 64 << 20;

/// The JSON Schema of the operator's file.
pub fn schema() -> Value {
    schemars::schema_for!(format::File).to_value()
}

/// The JSON Schema of a file that lists the nodes of a pool.
pub fn nodes_schema() -> Value {
    schemars::schema_for!(format::NodesFile).to_value()
}

/// Reads and checks an operator's file. All its problems are reported together.
pub fn load(path: &str) -> Result<OperatorConfig, Problems> {
    parse(path, &read(path)?)
}

/// Checks the text of an operator's file. Its problems refer to the file as `name`.
pub fn parse(name: &str, text: &str) -> Result<OperatorConfig, Problems> {
    check_file(name, text, schema(), |checker, file: &format::File| checker.operator_config(file))
}

/// Reads a file that lists the nodes of a pool. A file without nodes is refused, as it is far more likely to
/// be wrong or incomplete than intended.
pub fn load_nodes(path: &str) -> Result<Vec<(Listing, Option<SocketAddr>)>, Problems> {
    parse_nodes(path, &read(path)?)
}

/// Checks the text of a file that lists the nodes of a pool. Its problems refer to the file as `name`.
pub fn parse_nodes(name: &str, text: &str) -> Result<Vec<(Listing, Option<SocketAddr>)>, Problems> {
    check_file(name, text, nodes_schema(), |checker, file: &format::NodesFile| {
        let key = KeyPath::default().key("nodes");
        let nodes = checker.nodes(&key, &file.nodes);
        if file.nodes.is_empty() {
            checker.report_empty_nodes(&key);
        }
        Some(nodes)
    })
}

impl Checker<'_, '_> {
    fn report_empty_nodes(&mut self, key: &KeyPath) {
        self.report_str(key, "lists no node", "write one [[nodes]] for each");
    }
}

/// Reads the text of a file without checking it; a file that is too long is refused.
pub fn read(path: &str) -> Result<String, Problems> {
    let failed = |message: String| {
        let (file, key, remedy) = (path.to_string(), KeyPath::default(), String::new());
        Problems(vec![Problem { file, line: 0, key, message, remedy }])
    };
    let size = std::fs::metadata(path).map_err(|e| failed(e.to_string()))?.len();
    if size > MAX_FILE_BYTES {
        return Err(failed(format!("is {size} bytes long; {MAX_FILE_BYTES} are the most")));
    }
    let bytes = std::fs::read(path).map_err(|e| failed(e.to_string()))?;
    String::from_utf8(bytes).map_err(|_| failed("is not UTF-8".into()))
}

fn check_file<F: serde::de::DeserializeOwned, T>(
    name: &str,
    text: &str,
    schema: Value,
    check: impl FnOnce(&mut Checker<'_, '_>, &F) -> Option<T>,
) -> Result<T, Problems> {
    let mut document = Document::parse(name, text)?;
    let top = KeyPath::default();
    match toml::from_str::<Value>(text) {
        Ok(value) => document.check_schema(&schema, &value),
        Err(e) => document.report(&top, e.message().to_string(), ""),
    }
    if document.has_problems() {
        return Err(document.into_problems());
    }
    let file = match toml::from_str::<F>(text) {
        Ok(file) => file,
        Err(e) => {
            document.report(&top, e.message().to_string(), "");
            return Err(document.into_problems());
        }
    };
    match check(&mut Checker::new(&mut document), &file) {
        Some(value) if !document.has_problems() => Ok(value),
        _ => {
            if !document.has_problems() {
                document.report(&top, "can't be used", "");
            }
            Err(document.into_problems())
        }
    }
}
