//! Prints answers for people or for programs.

use serde_json::Value;

/// Prints a list of objects as a table with one column a field.
pub(crate) fn print_list(json: bool, answer: &Value, field: &str) {
    if json {
        println!("{answer}");
        return;
    }
    let empty = Vec::new();
    let lines = answer[field].as_array().unwrap_or(&empty);
    print!("{}", table(lines));
}

/// Prints one object as lines of names and values.
pub(crate) fn print_object(json: bool, answer: &Value) {
    if json {
        println!("{answer}");
        return;
    }
    for (name, value) in answer.as_object().into_iter().flatten() {
        println!("{name}: {}", cell(value));
    }
}

/// Lays objects out in columns, in the order of the fields' names.
pub(crate) fn table(lines: &[Value]) -> String {
    let mut names: Vec<&String> = Vec::new();
    for line in lines.iter().filter_map(Value::as_object) {
        for name in line.keys() {
            if !names.contains(&name) {
                names.push(name);
            }
        }
    }
    let head: Vec<String> = names.iter().map(ToString::to_string).collect();
    let body = lines.iter().map(|line| names.iter().map(|name| cell(&line[*name])).collect());
    let rows: Vec<Vec<String>> = std::iter::once(head).chain(body).collect();
    let widths: Vec<usize> = (0..names.len())
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

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(elements) => elements.iter().map(cell).collect::<Vec<_>>().join(","),
        Value::Object(fields) => fields
            .iter()
            .map(|(name, value)| format!("{name}={}", cell(value)))
            .collect::<Vec<_>>()
            .join(" "),
        other => other.to_string(),
    }
}
