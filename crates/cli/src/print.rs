//! Output: aligned columns on a terminal, CSV when piped, JSON when asked for.

use {
    serde_json::Value,
    std::io::{self, IsTerminal, Write},
};

/// Prints a list of JSON objects with the given columns.
pub(crate) fn rows(values: &[Value], columns: &[&str], json: bool) -> io::Result<()> {
    let mut out = io::stdout().lock();
    if json {
        return writeln!(out, "{}", Value::Array(values.to_vec()));
    }
    let cells: Vec<Vec<String>> = values
        .iter()
        .map(|value| columns.iter().map(|column| cell(&value[*column])).collect())
        .collect();
    if out.is_terminal() { aligned(&mut out, columns, &cells) } else { csv(out, columns, &cells) }
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Number(number) => match number.as_f64() {
            Some(fraction) if number.is_f64() => format!("{fraction:.3}"),
            _ => number.to_string(),
        },
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    }
}

fn aligned(out: &mut impl Write, columns: &[&str], cells: &[Vec<String>]) -> io::Result<()> {
    let width = |idx: usize| {
        let longest = cells.iter().map(|row| row[idx].chars().count()).max().unwrap_or(0);
        longest.max(columns[idx].len())
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let header: Vec<String> = columns.iter().map(ToString::to_string).collect();
    for row in [&header].into_iter().chain(cells) {
        let padded = row.iter().zip(&widths).map(|(text, width)| format!("{text:width$}"));
        let line = padded.collect::<Vec<_>>().join("  ");
        writeln!(out, "{}", line.trim_end())?;
    }
    Ok(())
}

fn csv(out: impl Write, columns: &[&str], cells: &[Vec<String>]) -> io::Result<()> {
    let mut writer = csv::Writer::from_writer(out);
    writer.write_record(columns)?;
    for row in cells {
        writer.write_record(row)?;
    }
    writer.flush()
}

/// A bar of ten signs for a share of the budget that is left.
pub(crate) fn bar(share: f64) -> String {
    let filled = (share.clamp(0.0, 1.0) * 10.0).round() as usize;
    format!("{}{}", "#".repeat(filled), ".".repeat(10 - filled))
}
