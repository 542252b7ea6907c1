//! Output of responses, as text for people or as JSON for programs.

use serde_json::Value;

/// Prints the objects in the array `field` of a response as a table, or the whole response as JSON.
pub(crate) fn print_list(json: bool, response: &Value, field: &str) {
    if json {
        println!("{response}");
        return;
    }
    let empty = Vec::new();
    let objects = response[field].as_array().unwrap_or(&empty);
    print!("{}", format_table(objects));
}

/// Prints an object with one `name: value` line per field, or as JSON.
pub(crate) fn print_object(json: bool, response: &Value) {
    if json {
        println!("{response}");
        return;
    }
    for (name, value) in response.as_object().into_iter().flatten() {
        println!("{name}: {}", format_cell(value));
    }
}

/// Formats objects as an aligned table with one column per field name and a header row.
///
/// A field that an object lacks is shown as `-`.
pub(crate) fn format_table(objects: &[Value]) -> String {
    let mut columns: Vec<&String> = Vec::new();
    for object in objects.iter().filter_map(Value::as_object) {
        for name in object.keys() {
            if !columns.contains(&name) {
                columns.push(name);
            }
        }
    }
    let header: Vec<String> = columns.iter().map(ToString::to_string).collect();
    let body = objects
        .iter()
        .map(|object| columns.iter().map(|name| format_cell(&object[*name])).collect());
    let rows: Vec<Vec<String>> = std::iter::once(header).chain(body).collect();
    let widths: Vec<usize> = (0..columns.len())
        .map(|column| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0))
        .collect();
    let mut text = String::new();
    for row in &rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        text.push('\n');
    }
    text
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(elements) => elements.iter().map(format_cell).collect::<Vec<_>>().join(","),
        Value::Object(fields) => fields
            .iter()
            .map(|(name, value)| format!("{name}={}", format_cell(value)))
            .collect::<Vec<_>>()
            .join(" "),
        other => other.to_string(),
    }
}
