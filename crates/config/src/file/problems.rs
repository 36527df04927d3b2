//! What is wrong with a file: every problem at once, each with its place, its key and what to do.

use jsonschema::error::ValidationErrorKind as Kind;
use serde_json::Value;
use std::fmt;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// One step of a key: a name in a table, or a place in an array.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyStep {
    /// A name.
    Key(String),
    /// A place, from 0.
    Index(usize),
}

/// The key of a value, from the top of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyPath(pub Vec<KeyStep>);

impl KeyPath {
    /// This key, and a name in the table that it holds.
    pub fn key(&self, name: &str) -> KeyPath {
        self.with(KeyStep::Key(name.to_string()))
    }

    /// This key, and a place in the array that it holds.
    pub fn index(&self, place: usize) -> KeyPath {
        self.with(KeyStep::Index(place))
    }

    fn with(&self, step: KeyStep) -> KeyPath {
        let mut steps = self.0.clone();
        steps.push(step);
        KeyPath(steps)
    }
}

impl fmt::Display for KeyPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, step) in self.0.iter().enumerate() {
            match step {
                KeyStep::Index(place) => write!(f, "[{place}]")?,
                KeyStep::Key(name) => {
                    let bare = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_');
                    let dot = if i > 0 { "." } else { "" };
                    match !name.is_empty() && name.bytes().all(bare) {
                        true => write!(f, "{dot}{name}")?,
                        false => write!(f, "{dot}{name:?}")?,
                    }
                }
            }
        }
        Ok(())
    }
}

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file.
    pub file: String,
    /// The line, from 1; 0 where none is at fault.
    pub line: usize,
    /// The key.
    pub key: KeyPath,
    /// What is wrong.
    pub message: String,
    /// What to do.
    pub remedy: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file)?;
        if self.line > 0 {
            write!(f, "{}:", self.line)?;
        }
        if !self.key.0.is_empty() {
            write!(f, " {}:", self.key)?;
        }
        write!(f, " {}", self.message)?;
        if !self.remedy.is_empty() {
            write!(f, "; {}", self.remedy)?;
        }
        Ok(())
    }
}

/// The problems of one file, never none, as [`Display`](fmt::Display) writes them: one a line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.0.iter().enumerate() {
            let end = if i > 0 { "\n" } else { "" };
            write!(f, "{end}{problem}")?;
        }
        Ok(())
    }
}

/// The most problems that are told of one file.
const MOST: usize = 100;

/// A file's text with its places, and what has been found wrong with it.
pub(crate) struct Document<'t> {
    name: String,
    text: &'t str,
    tree: Spanned<DeTable<'t>>,
    problems: Vec<Problem>,
}

impl<'t> Document<'t> {
    /// Reads the syntax; all its errors at once.
    pub fn parse(name: &str, text: &'t str) -> Result<Document<'t>, Problems> {
        let (tree, errors) = DeTable::parse_recoverable(text);
        let problem = |e: toml::de::Error| Problem {
            file: name.to_string(),
            line: e.span().map_or(0, |span| line_of(text, span.start)),
            key: KeyPath::default(),
            message: format!("not TOML: {}", e.message().replace('\n', ", ")),
            remedy: String::new(),
        };
        if errors.is_empty() {
            Ok(Document { name: name.to_string(), text, tree, problems: Vec::new() })
        } else {
            Err(Problems(errors.into_iter().take(MOST).map(problem).collect()))
        }
    }

    /// Notes a problem at a key, or at the nearest one above that stands in the file.
    pub fn wrong(&mut self, key: &KeyPath, what: impl Into<String>, remedy: impl Into<String>) {
        if self.problems.len() < MOST {
            let (file, line) = (self.name.clone(), self.line(key));
            self.problems.push(Problem {
                file,
                line,
                key: key.clone(),
                message: what.into(),
                remedy: remedy.into(),
            });
        }
    }

    /// Whether something is wrong.
    pub fn failed(&self) -> bool {
        !self.problems.is_empty()
    }

    /// The problems in the order of the file.
    pub fn into_problems(mut self) -> Problems {
        self.problems.sort_by_key(|p| p.line);
        Problems(self.problems)
    }

    fn line(&self, key: &KeyPath) -> usize {
        let mut place = self.tree.span().start;
        let mut here: Option<&DeValue<'_>> = None;
        for step in &key.0 {
            let next = match (here, step) {
                (None, KeyStep::Key(name)) => self.tree.get_ref().get_key_value(name.as_str()),
                (Some(DeValue::Table(table)), KeyStep::Key(name)) => table.get_key_value(name.as_str()),
                (Some(DeValue::Array(array)), KeyStep::Index(at)) => {
                    let Some(value) = array.get(*at) else { break };
                    place = value.span().start;
                    here = Some(value.get_ref());
                    continue;
                }
                _ => break,
            };
            let Some((name, value)) = next else { break };
            place = name.span().start;
            here = Some(value.get_ref());
        }
        line_of(self.text, place)
    }

    /// Checks names and types against the format's schema.
    pub fn check_schema(&mut self, schema: &Value, value: &Value) {
        let validator = match jsonschema::validator_for(schema) {
            Ok(validator) => validator,
            Err(e) => return self.wrong(&KeyPath::default(), format!("the format's schema: {e}"), ""),
        };
        for e in validator.iter_errors(value) {
            let key = path_of(value, e.instance_path().as_str());
            match e.kind() {
                Kind::AdditionalProperties { unexpected } => {
                    let known = properties(schema, e.schema_path().as_str());
                    for name in unexpected {
                        self.wrong(&key.key(name), "no such key", nearest(name, &known));
                    }
                }
                Kind::Required { property } => {
                    let name = property.as_str().unwrap_or_default();
                    self.wrong(&key, format!("{name} is missing"), format!("add {name}"));
                }
                Kind::Type { .. } | Kind::AnyOf { .. } => {
                    self.wrong(&key, format!("has the wrong type: {}", shown(e.instance())), wanted(&e));
                }
                Kind::Enum { options } => {
                    self.wrong(
                        &key,
                        format!("{} is not known", shown(e.instance())),
                        format!("use one of {options}"),
                    );
                }
                Kind::OneOfNotValid { .. } => {
                    let options = options(schema, e.schema_path().as_str());
                    let what = format!("{} is not known", shown(e.instance()));
                    self.wrong(&key, what, format!("use one of {}", options.join(", ")));
                }
                _ => self.wrong(&key, e.to_string(), ""),
            }
        }
    }
}

fn shown(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(60) {
        Some((at, _)) => format!("{}...", &text[..at]),
        None => text,
    }
}

fn wanted(e: &jsonschema::ValidationError<'_>) -> String {
    let text = e.to_string();
    text.rsplit_once(" is not of type").or_else(|| text.rsplit_once(" is not of types")).map_or_else(
        || "see docs/configuration.md".to_string(),
        |(_, types)| format!("it must be {}", types.trim_start_matches('s').trim().replace('"', "")),
    )
}

/// The part of a schema that a pointer leads to, its last step left out.
fn schema_at<'s>(schema: &'s Value, pointer: &str) -> Option<&'s Value> {
    // References are followed by the validator, so a path may lead through one: "/properties/x/$ref/...".
    let mut here = schema;
    for step in pointer.split('/').skip(1) {
        let step = step.replace("~1", "/").replace("~0", "~");
        let next = match here {
            Value::Array(items) => items.get(step.parse::<usize>().ok()?)?,
            other => other.get(&step)?,
        };
        here = match (step.as_str(), next) {
            ("$ref", Value::String(to)) => schema.pointer(to.strip_prefix('#')?)?,
            _ => next,
        };
    }
    Some(here)
}

fn parent<'s>(schema: &'s Value, pointer: &str) -> Option<&'s Value> {
    schema_at(schema, pointer.rsplit_once('/')?.0)
}

fn properties(schema: &Value, pointer: &str) -> Vec<String> {
    let found = parent(schema, pointer).and_then(|p| p.get("properties")).and_then(Value::as_object);
    found.map(|p| p.keys().cloned().collect()).unwrap_or_default()
}

fn options(schema: &Value, pointer: &str) -> Vec<String> {
    let one_of = parent(schema, pointer).and_then(|p| p.get("oneOf")).and_then(Value::as_array);
    let name = |o: &Value| o.get("const").map(Value::to_string);
    one_of.map(|all| all.iter().filter_map(name).collect()).unwrap_or_default()
}

/// What may have been meant.
pub(crate) fn nearest<'k>(name: &str, known: impl IntoIterator<Item = &'k String>) -> String {
    let known: Vec<&String> = known.into_iter().collect();
    let near = known.iter().map(|k| (strsim::damerau_levenshtein(name, k), *k)).min();
    match near {
        Some((distance, k)) if distance <= 1 + name.chars().count() / 3 => format!("did you mean {k}?"),
        _ if known.is_empty() => String::new(),
        _ => {
            let names: Vec<&str> = known.iter().take(12).map(|k| k.as_str()).collect();
            let more = if known.len() > names.len() { ", ..." } else { "" };
            format!("known here: {}{more}", names.join(", "))
        }
    }
}

/// The key that a JSON pointer names.
fn path_of(value: &Value, pointer: &str) -> KeyPath {
    let mut path = KeyPath::default();
    let mut here = Some(value);
    for step in pointer.split('/').skip(1) {
        let name = step.replace("~1", "/").replace("~0", "~");
        match here {
            Some(Value::Array(items)) => {
                let at = name.parse().unwrap_or(usize::MAX);
                path = path.index(at);
                here = items.get(at);
            }
            other => {
                path = path.key(&name);
                here = other.and_then(|v| v.get(&name));
            }
        }
    }
    path
}

fn line_of(text: &str, place: usize) -> usize {
    1 + text.as_bytes().iter().take(place).filter(|&&b| b == b'\n').count()
}
