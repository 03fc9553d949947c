//! Text tables.

use serde_json::Value;

/// Prints rows under a header, with columns as wide as needed.
pub fn print(header: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(String::len);
        cells.chain([header[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded: Vec<String> =
            cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        println!("{}", padded.join("  ").trim_end());
    };
    line(header.to_vec());
    for row in rows {
        line(row.iter().map(String::as_str).collect());
    }
}

/// Formats a JSON value as a cell.
pub fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.2}", number.as_f64().unwrap_or_default())
        }
        other => other.to_string(),
    }
}

/// Makes rows from the fields `keys` of a list of objects.
pub fn rows(list: &Value, keys: &[&str]) -> Vec<Vec<String>> {
    let list = list.as_array().map(Vec::as_slice).unwrap_or_default();
    list.iter().map(|value| keys.iter().map(|key| cell(&value[*key])).collect()).collect()
}
