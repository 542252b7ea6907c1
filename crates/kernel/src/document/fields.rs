//! Reads the fields of an object one by one and reports missing, mistyped and unknown fields.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{LocatedError, Node, Position, Tree};

/// Errors found so far.
pub type Errors = Vec<LocatedError>;

/// Reader of the fields of one object; each field that is read is removed.
pub struct Fields<'a> {
    path: String,
    position: Position,
    unread: BTreeMap<&'a str, &'a Tree>,
    errors: &'a mut Errors,
}

impl<'a> Fields<'a> {
    /// Creates a reader of `fields` of the object with the given path and position.
    pub fn new(
        path: &str,
        position: &Position,
        fields: &'a BTreeMap<String, Tree>,
        errors: &'a mut Errors,
    ) -> Fields<'a> {
        let unread = fields.iter().map(|(name, tree)| (name.as_str(), tree)).collect();
        Fields { path: path.to_owned(), position: position.clone(), unread, errors }
    }

    fn field_path(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    /// Records an error of the field `name`.
    fn report(&mut self, name: &str, position: &Position, detail: String) {
        let field = self.field_path(name);
        self.errors.push(LocatedError { position: position.clone(), field, detail });
    }

    /// Removes and returns a field, if it is present.
    pub fn take(&mut self, name: &str) -> Option<&'a Tree> {
        self.unread.remove(name)
    }

    fn convert<T>(
        &mut self,
        name: &str,
        expected: &str,
        convert: impl FnOnce(&'a Node) -> Option<T>,
    ) -> Option<T> {
        let tree = self.take(name)?;
        let value = convert(&tree.node);
        if value.is_none() {
            let detail = format!("expected {expected}, found {}", tree.node.type_name());
            self.report(name, &tree.position, detail);
        }
        value
    }

    fn require<T>(&mut self, name: &str, value: Option<T>, present: bool) -> Option<T> {
        if value.is_none() && !present {
            let position = self.position.clone();
            self.report(name, &position, "the field is missing".to_owned());
        }
        value
    }

    /// Reads an optional string.
    pub fn string(&mut self, name: &str) -> Option<String> {
        self.convert(name, "a string", |node| match node {
            Node::String(text) => Some(text.clone()),
            _ => None,
        })
    }

    /// Reads a required string; returns an empty string after an error.
    pub fn required_string(&mut self, name: &str) -> String {
        let present = self.unread.contains_key(name);
        let value = self.string(name);
        self.require(name, value, present).unwrap_or_default()
    }

    /// Reads an optional whole number of at most `max`.
    pub fn number(&mut self, name: &str, max: u64) -> Option<u64> {
        let expected = format!("a whole number from 0 to {max}");
        self.convert(name, &expected, |node| match node {
            Node::Number(text) => text.parse().ok().filter(|number| *number <= max),
            _ => None,
        })
    }

    /// Reads a required whole number of at most `max`; returns one after an error.
    pub fn required_number(&mut self, name: &str, max: u64) -> u64 {
        let present = self.unread.contains_key(name);
        let value = self.number(name, max);
        self.require(name, value, present).unwrap_or(1)
    }

    /// Reads an optional whole number of 32 bits.
    pub fn number_u32(&mut self, name: &str) -> Option<u32> {
        self.number(name, u64::from(u32::MAX)).map(|number| number as u32)
    }

    /// Reads a required whole number of 32 bits; returns one after an error.
    pub fn required_u32(&mut self, name: &str) -> u32 {
        self.required_number(name, u64::from(u32::MAX)) as u32
    }

    /// Reads an optional boolean, which defaults to `false`.
    pub fn flag(&mut self, name: &str) -> bool {
        self.convert(name, "true or false", |node| match node {
            Node::Bool(value) => Some(*value),
            _ => None,
        })
        .unwrap_or(false)
    }

    /// Reads an optional duration in whole milliseconds.
    pub fn millis(&mut self, name: &str) -> Option<Duration> {
        self.number(name, MILLIS_MAX).map(Duration::from_millis)
    }

    /// Reads an optional duration in whole seconds.
    pub fn seconds(&mut self, name: &str) -> Option<Duration> {
        self.number(name, MILLIS_MAX / 1_000).map(Duration::from_secs)
    }

    /// Reads an optional duration in seconds, which may have a fraction.
    pub fn decimal_seconds(&mut self, name: &str) -> Option<Duration> {
        self.decimal(name).and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
    }

    /// Reads an optional non-negative number, which may have a fraction.
    pub fn decimal(&mut self, name: &str) -> Option<f64> {
        self.convert(name, "a number of at least 0", |node| match node {
            Node::Number(text) => text.parse().ok().filter(|number: &f64| *number >= 0.0),
            _ => None,
        })
    }

    /// Reads an optional array of strings.
    pub fn strings(&mut self, name: &str) -> Option<Vec<String>> {
        self.convert(name, "an array of strings", |node| match node {
            Node::Array(elements) => elements
                .iter()
                .map(|element| match &element.node {
                    Node::String(text) => Some(text.clone()),
                    _ => None,
                })
                .collect(),
            _ => None,
        })
    }

    /// Reads an optional object with `read`, and reports its unknown fields.
    pub fn object<T>(&mut self, name: &str, read: impl FnOnce(&mut Fields<'_>) -> T) -> Option<T> {
        let path = self.field_path(name);
        let tree = self.take(name)?;
        let Node::Object(fields) = &tree.node else {
            let detail = format!("expected an object, found {}", tree.node.type_name());
            self.report(name, &tree.position, detail);
            return None;
        };
        let mut inner = Fields::new(&path, &tree.position, fields, self.errors);
        let value = read(&mut inner);
        inner.finish();
        Some(value)
    }

    /// Records a semantic error of a field, at the position of its object.
    pub fn reject(&mut self, name: &str, detail: String) {
        let position = self.position.clone();
        self.report(name, &position, detail);
    }

    /// Reports each field that was not read as unknown.
    pub fn finish(mut self) {
        for (name, tree) in std::mem::take(&mut self.unread) {
            self.report(name, &tree.position, "the field is unknown".to_owned());
        }
    }
}

/// Maximum duration of a field, in milliseconds: about 49 days.
const MILLIS_MAX: u64 = u32::MAX as u64;
