//! The operator's file: read, checked, and given defaults.
//!
//! [`mod@format`] is what may be written, `check` what must hold and what is assumed, [`problems`] how all that is
//! wrong is told at once. `docs/configuration.md` is the page for operators.

mod check;
mod fleet;
pub mod format;
pub mod problems;

pub use check::{Listener, Logging, OperatorConfig, Pool, PoolIdentity, PoolNodes};
pub use fleet::{Duties, Export, Fleet};
pub use problems::{KeyPath, KeyStep, Problem, Problems};

use check::Check;
use garnettally_model::Listing;
use problems::Document;
use serde_json::Value;
use std::net::SocketAddr;

/// The longest file that is read.
pub const MAX_FILE_BYTES: u64 = 64 << 20;

/// The JSON Schema of the operator's file.
pub fn schema() -> Value {
    schemars::schema_for!(format::File).to_value()
}

/// The JSON Schema of a file that lists the nodes of a pool.
pub fn nodes_schema() -> Value {
    schemars::schema_for!(format::NodesFile).to_value()
}

/// Reads and checks an operator's file; all that is wrong with it is told at once.
pub fn load(path: &str) -> Result<OperatorConfig, Problems> {
    parse(path, &read(path)?)
}

/// Checks the text of an operator's file; `name` stands in what is told.
pub fn parse(name: &str, text: &str) -> Result<OperatorConfig, Problems> {
    checked(name, text, schema(), |check, file: &format::File| check.file(file))
}

/// Reads a file that lists the nodes of a pool. A file without nodes is refused: it is far more likely to be
/// written wrong, or only in part, than meant.
pub fn load_nodes(path: &str) -> Result<Vec<(Listing, Option<SocketAddr>)>, Problems> {
    parse_nodes(path, &read(path)?)
}

/// Checks the text of such a file.
pub fn parse_nodes(name: &str, text: &str) -> Result<Vec<(Listing, Option<SocketAddr>)>, Problems> {
    checked(name, text, nodes_schema(), |check, file: &format::NodesFile| {
        let key = KeyPath::default().key("nodes");
        let nodes = check.nodes(&key, &file.nodes);
        if file.nodes.is_empty() {
            check.empty(&key);
        }
        Some(nodes)
    })
}

impl Check<'_, '_> {
    fn empty(&mut self, key: &KeyPath) {
        self.note(key, "lists no node", "write one [[nodes]] for each");
    }
}

fn read(path: &str) -> Result<String, Problems> {
    let failed = |what: String| {
        let (file, key, remedy) = (path.to_string(), KeyPath::default(), String::new());
        Problems(vec![Problem { file, line: 0, key, message: what, remedy }])
    };
    let size = std::fs::metadata(path).map_err(|e| failed(e.to_string()))?.len();
    if size > MAX_FILE_BYTES {
        return Err(failed(format!("is {size} bytes long; {MAX_FILE_BYTES} are the most")));
    }
    let bytes = std::fs::read(path).map_err(|e| failed(e.to_string()))?;
    String::from_utf8(bytes).map_err(|_| failed("is not UTF-8".into()))
}

fn checked<F: serde::de::DeserializeOwned, T>(
    name: &str,
    text: &str,
    schema: Value,
    check: impl FnOnce(&mut Check<'_, '_>, &F) -> Option<T>,
) -> Result<T, Problems> {
    let mut doc = Document::parse(name, text)?;
    let top = KeyPath::default();
    match toml::from_str::<Value>(text) {
        Ok(value) => doc.check_schema(&schema, &value),
        Err(e) => doc.wrong(&top, e.message().to_string(), ""),
    }
    if doc.failed() {
        return Err(doc.into_problems());
    }
    let file = match toml::from_str::<F>(text) {
        Ok(file) => file,
        Err(e) => {
            doc.wrong(&top, e.message().to_string(), "");
            return Err(doc.into_problems());
        }
    };
    match check(&mut Check::new(&mut doc), &file) {
        Some(value) if !doc.failed() => Ok(value),
        _ => {
            if !doc.failed() {
                doc.wrong(&top, "can't be used", "");
            }
            Err(doc.into_problems())
        }
    }
}
