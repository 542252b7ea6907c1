//! Parses JSON with comments into a tree with the position of each value.
//!
//! Settings and configuration report all of their errors at once, each with file, line, column and
//! field. That needs the positions after parsing and merging, which serde does not keep.

mod fields;

use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::sync::Arc;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged as _;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use wasabiswitch_derive::derives;
use wasabiswitch_policy::config_check::Severity;

pub use fields::{Errors, Fields};

/// Position of a value in a file.
#[derives(record)]
#[derive(Eq, PartialOrd, Ord)]
pub struct Position {
    /// Name of the file.
    pub file: Arc<str>,
    /// Line, counted from one.
    pub line: usize,
    /// Column in characters, counted from one.
    pub column: usize,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// Error in the content of a file, with its position.
#[derives(record)]
#[derive(Eq, PartialOrd, Ord)]
pub struct LocatedError {
    /// Position of the value at fault, or of its object.
    pub position: Position,
    /// Path of the field with the error, separated by dots; empty for the file as a whole.
    pub field: String,
    /// Description of the error.
    pub detail: String,
}

impl fmt::Display for LocatedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.field.is_empty() {
            return write!(f, "{}: {}", self.position, self.detail);
        }
        write!(f, "{}: {}: {}", self.position, self.field, self.detail)
    }
}

/// Error or warning about the content of a file, with its position.
#[derives(record)]
#[derive(Eq, PartialOrd, Ord)]
pub struct LocatedFinding {
    /// Position of the value at fault, or of its object.
    pub position: Position,
    /// Path of the field, separated by dots; empty for the file as a whole.
    pub field: String,
    /// Effect of the finding.
    pub severity: Severity,
    /// Description of the finding.
    pub detail: String,
}

impl fmt::Display for LocatedFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (position, severity) = (self.position.to_string(), self.severity.as_str());
        let field = if self.field.is_empty() { "" } else { ": " };
        let line = format!("{position}{field}{}: {severity}: {}", self.field, self.detail);
        // Names may contain line breaks, and each finding is one line.
        for character in line.chars() {
            if character.is_control() {
                write!(f, "{}", character.escape_default())?;
            } else {
                f.write_char(character)?;
            }
        }
        Ok(())
    }
}

/// JSON value with its position.
#[derives(record)]
pub struct Tree {
    /// Position of the first character of the value.
    pub position: Position,
    /// Value without its position.
    pub node: Node,
}

/// JSON value whose elements and fields have positions.
#[derives(record)]
pub enum Node {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number, as its text in the file.
    Number(String),
    /// A string without its quotes and escapes.
    String(String),
    /// An array, in order.
    Array(Vec<Tree>),
    /// An object, by field name.
    Object(BTreeMap<String, Tree>),
}

impl Node {
    /// Returns the name of the type for error messages.
    pub fn type_name(&self) -> &'static str {
        match self {
            Node::Null => "null",
            Node::Bool(_) => "a truth value",
            Node::Number(_) => "a number",
            Node::String(_) => "a string",
            Node::Array(_) => "an array",
            Node::Object(_) => "an object",
        }
    }
}

/// Options of the parser: JSON with comments and trailing commas as the only extensions.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Parses `text`; `file` is the name used in positions.
pub fn parse(file: &str, text: &str) -> Result<Tree, LocatedError> {
    let source = Source { file: file.into(), text };
    let parsed =
        parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS).map_err(|error| {
            let position = source.position(error.range().start);
            LocatedError { position, field: String::new(), detail: error.kind().to_string() }
        })?;
    match parsed.value {
        Some(value) => source.tree(&value),
        None => Err(LocatedError {
            position: source.position(0),
            field: String::new(),
            detail: "the file holds no value".to_owned(),
        }),
    }
}

/// Text of a file, from which positions are computed.
struct Source<'a> {
    file: Arc<str>,
    text: &'a str,
}

impl Source<'_> {
    fn position(&self, byte_offset: usize) -> Position {
        let before = &self.text[..byte_offset.min(self.text.len())];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Position {
            file: self.file.clone(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }

    fn tree(&self, value: &ast::Value<'_>) -> Result<Tree, LocatedError> {
        let position = self.position(value.range().start);
        let node = match value {
            ast::Value::NullKeyword(_) => Node::Null,
            ast::Value::BooleanLit(literal) => Node::Bool(literal.value),
            ast::Value::NumberLit(literal) => Node::Number(literal.value.to_owned()),
            ast::Value::StringLit(literal) => Node::String(literal.value.to_string()),
            ast::Value::Array(array) => {
                let elements = array.elements.iter().map(|element| self.tree(element));
                Node::Array(elements.collect::<Result<_, _>>()?)
            }
            ast::Value::Object(object) => Node::Object(self.object(object)?),
        };
        Ok(Tree { position, node })
    }

    fn object(&self, object: &ast::Object<'_>) -> Result<BTreeMap<String, Tree>, LocatedError> {
        let mut fields = BTreeMap::new();
        for property in &object.properties {
            let name = property.name.as_str().to_owned();
            let tree = self.tree(&property.value)?;
            if fields.insert(name.clone(), tree).is_some() {
                let position = self.position(property.name.range().start);
                let detail = "the field stands twice in one object".to_owned();
                return Err(LocatedError { position, field: name, detail });
            }
        }
        Ok(fields)
    }
}

/// Returns the canonical JSON text of a tree: fields sorted by name, without whitespace.
pub fn canonical(tree: &Tree) -> String {
    to_json(tree).to_string()
}

fn to_json(tree: &Tree) -> serde_json::Value {
    match &tree.node {
        Node::Null => serde_json::Value::Null,
        Node::Bool(value) => (*value).into(),
        Node::Number(text) => serde_json::from_str(text).unwrap_or(serde_json::Value::Null),
        Node::String(text) => text.clone().into(),
        Node::Array(elements) => elements.iter().map(to_json).collect::<Vec<_>>().into(),
        Node::Object(fields) => {
            let fields = fields.iter().map(|(name, tree)| (name.clone(), to_json(tree)));
            fields.collect::<serde_json::Map<_, _>>().into()
        }
    }
}
