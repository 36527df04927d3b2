//! The problems of a file, collected and reported together, each with its line, its key and a remedy.

use jsonschema::error::ValidationErrorKind as Kind;
use serde_json::Value;
use std::fmt;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// One step on the path to a value: a name in a table, or an index of an array.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyStep {
    /// The name of a value in a table.
    Key(String),
    /// The index of an element of an array, from 0.
    Index(usize),
}

/// The path of keys that leads from the top of a file to a value, displayed as `pools.web.nodes[0].address`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyPath(pub Vec<KeyStep>);

impl KeyPath {
    /// The path of the value called `name` in the table at this path.
    pub fn key(&self, name: &str) -> KeyPath {
        self.with(KeyStep::Key(name.to_string()))
    }

    /// The path of an element of the array at this path.
    pub fn index(&self, index: usize) -> KeyPath {
        self.with(KeyStep::Index(index))
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
                KeyStep::Index(index) => write!(f, "[{index}]")?,
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

/// A problem of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The name of the file, as given by the caller.
    pub file: String,
    /// The line of the key, from 1; 0 if the problem is not at a line.
    pub line: usize,
    /// The key at fault; empty for the file as a whole.
    pub key: KeyPath,
    /// What is wrong with the key.
    pub message: String,
    /// How to correct the file; may be empty.
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

/// The problems of one file, at least one. [`Display`](fmt::Display) writes each on a line of its own.
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

/// The most problems that are reported of one file.
const MAX_PROBLEMS: usize = 100;

/// A parsed file that knows the lines of its keys, and the problems found in it.
pub(crate) struct Document<'t> {
    name: String,
    text: &'t str,
    tree: Spanned<DeTable<'t>>,
    problems: Vec<Problem>,
}

impl<'t> Document<'t> {
    /// Parses the text. All syntax errors are reported together.
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
            Err(Problems(errors.into_iter().take(MAX_PROBLEMS).map(problem).collect()))
        }
    }

    /// Adds a problem at a key. Where the file lacks the key, the line is that of its nearest parent.
    pub fn report(&mut self, key: &KeyPath, message: impl Into<String>, remedy: impl Into<String>) {
        if self.problems.len() < MAX_PROBLEMS {
            let (file, line) = (self.name.clone(), self.line(key));
            self.problems.push(Problem {
                file,
                line,
                key: key.clone(),
                message: message.into(),
                remedy: remedy.into(),
            });
        }
    }

    /// Whether any problem was found.
    pub fn has_problems(&self) -> bool {
        !self.problems.is_empty()
    }

    /// Returns the problems in the order of their lines.
    pub fn into_problems(mut self) -> Problems {
        self.problems.sort_by_key(|p| p.line);
        Problems(self.problems)
    }

    /// The line of a key, or of its nearest parent in the file.
    fn line(&self, key: &KeyPath) -> usize {
        let mut offset = self.tree.span().start;
        let mut current: Option<&DeValue<'_>> = None;
        for step in &key.0 {
            let next = match (current, step) {
                (None, KeyStep::Key(name)) => self.tree.get_ref().get_key_value(name.as_str()),
                (Some(DeValue::Table(table)), KeyStep::Key(name)) => table.get_key_value(name.as_str()),
                (Some(DeValue::Array(array)), KeyStep::Index(index)) => {
                    let Some(value) = array.get(*index) else { break };
                    offset = value.span().start;
                    current = Some(value.get_ref());
                    continue;
                }
                _ => break,
            };
            let Some((name, value)) = next else { break };
            offset = name.span().start;
            current = Some(value.get_ref());
        }
        line_of(self.text, offset)
    }

    /// Checks the names and types of all keys against the format's schema.
    pub fn check_schema(&mut self, schema: &Value, value: &Value) {
        let validator = match jsonschema::validator_for(schema) {
            Ok(validator) => validator,
            Err(error) => {
                return self.report(&KeyPath::default(), format!("the format's schema: {error}"), "")
            }
        };
        for error in validator.iter_errors(value) {
            let key = key_path_of(value, error.instance_path().as_str());
            match error.kind() {
                Kind::AdditionalProperties { unexpected } => {
                    let known = property_names(schema, error.schema_path().as_str());
                    for name in unexpected {
                        self.report(&key.key(name), "no such key", nearest(name, &known));
                    }
                }
                Kind::Required { property } => {
                    let name = property.as_str().unwrap_or_default();
                    self.report(&key, format!("{name} is missing"), format!("add {name}"));
                }
                Kind::Type { .. } | Kind::AnyOf { .. } => {
                    self.report(
                        &key,
                        format!("has the wrong type: {}", quoted(error.instance())),
                        type_remedy(&error),
                    );
                }
                Kind::Enum { options } => {
                    self.report(
                        &key,
                        format!("{} is not known", quoted(error.instance())),
                        format!("use one of {options}"),
                    );
                }
                Kind::OneOfNotValid { .. } => {
                    let options = enum_values(schema, error.schema_path().as_str());
                    let what = format!("{} is not known", quoted(error.instance()));
                    self.report(&key, what, format!("use one of {}", options.join(", ")));
                }
                _ => self.report(&key, error.to_string(), ""),
            }
        }
    }
}

/// A value as it is quoted in a message, cut to 60 characters.
fn quoted(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(60) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}

/// The remedy for a value of the wrong type: the types that the schema allows.
fn type_remedy(error: &jsonschema::ValidationError<'_>) -> String {
    let text = error.to_string();
    text.rsplit_once(" is not of type").or_else(|| text.rsplit_once(" is not of types")).map_or_else(
        || "see docs/configuration.md".to_string(),
        |(_, types)| format!("it must be {}", types.trim_start_matches('s').trim().replace('"', "")),
    )
}

/// The part of a schema that a validator's pointer leads to.
fn schema_part<'s>(schema: &'s Value, pointer: &str) -> Option<&'s Value> {
    // The validator follows references, so its pointers may lead through one: "/properties/x/$ref/...".
    let mut current = schema;
    for step in pointer.split('/').skip(1) {
        let step = step.replace("~1", "/").replace("~0", "~");
        let next = match current {
            Value::Array(items) => items.get(step.parse::<usize>().ok()?)?,
            other => other.get(&step)?,
        };
        current = match (step.as_str(), next) {
            ("$ref", Value::String(target)) => schema.pointer(target.strip_prefix('#')?)?,
            _ => next,
        };
    }
    Some(current)
}

/// The part of a schema that has the last step of the pointer as its member.
fn schema_parent<'s>(schema: &'s Value, pointer: &str) -> Option<&'s Value> {
    schema_part(schema, pointer.rsplit_once('/')?.0)
}

/// The names that the object with the failed check may have.
fn property_names(schema: &Value, pointer: &str) -> Vec<String> {
    let found = schema_parent(schema, pointer).and_then(|p| p.get("properties")).and_then(Value::as_object);
    found.map(|p| p.keys().cloned().collect()).unwrap_or_default()
}

/// The values that the enumeration with the failed check allows.
fn enum_values(schema: &Value, pointer: &str) -> Vec<String> {
    let one_of = schema_parent(schema, pointer).and_then(|p| p.get("oneOf")).and_then(Value::as_array);
    let name = |o: &Value| o.get("const").map(Value::to_string);
    one_of.map(|all| all.iter().filter_map(name).collect()).unwrap_or_default()
}

/// The remedy for an unknown name: the most similar known one, or else a list of those known.
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

/// The key path of the value that a JSON pointer leads to.
fn key_path_of(value: &Value, pointer: &str) -> KeyPath {
    let mut path = KeyPath::default();
    let mut current = Some(value);
    for step in pointer.split('/').skip(1) {
        let name = step.replace("~1", "/").replace("~0", "~");
        match current {
            Some(Value::Array(items)) => {
                let index = name.parse().unwrap_or(usize::MAX);
                path = path.index(index);
                current = items.get(index);
            }
            other => {
                path = path.key(&name);
                current = other.and_then(|v| v.get(&name));
            }
        }
    }
    path
}

fn line_of(text: &str, offset: usize) -> usize {
    1 + text.as_bytes().iter().take(offset).filter(|&&b| b == b'\n').count()
}
