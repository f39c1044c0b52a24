//! Parsing and writing of the configuration table as CSV text.
//!
//! The csv library splits the text into cells; this module validates the cells. Parsing collects
//! the errors of all cells before it reports any of them.

use {
    crate::{
        row::{Limits, Row, RowKind, Targets},
        table::{Table, TableVersion},
        table_error::{CellError, TableError},
    },
    csv::{ReaderBuilder, StringRecord, Writer},
    glade_types::{ModelName, Priority},
    std::{collections::BTreeMap, str::FromStr, time::Duration},
};

/// Columns of the table in the order in which [`to_csv`] writes them. [`Table::parse_csv`] accepts
/// the columns in any order.
pub const COLUMNS: [&str; 11] = [
    "name",
    "kind",
    "base",
    "memory_bytes",
    "priority",
    "weight",
    "concurrency",
    "rate_per_s",
    "first_token_ms",
    "between_tokens_ms",
    "idempotent",
];

/// Maximum accepted latency target: one hour.
const MAX_TARGET_MS: u64 = 3_600_000;
/// Maximum accepted value of the `weight` column.
const MAX_WEIGHT: u32 = 1_000_000;
/// Maximum accepted memory of one row: 16 TiB.
const MAX_MEMORY_BYTES: u64 = 1 << 44;

impl Table {
    /// Parses and validates a complete table.
    ///
    /// # Errors
    ///
    /// Returns the errors of all invalid cells, or the first error in the header or in the CSV
    /// syntax.
    pub fn parse_csv(text: &str, version: TableVersion) -> Result<Self, TableError> {
        let mut reader = ReaderBuilder::new().trim(csv::Trim::All).from_reader(text.as_bytes());
        let header = reader.headers().map_err(malformed_error)?.clone();
        let positions = column_positions(&header)?;
        let mut errors = Vec::new();
        let mut rows = BTreeMap::new();
        for record in reader.records() {
            let record = record.map_err(malformed_error)?;
            let line = record.position().map_or(0, |pos| pos.line());
            let mut row_parser =
                RowParser { record: &record, positions: &positions, line, errors: &mut errors };
            let Some(row) = row_parser.parse_row() else { continue };
            if rows.contains_key(&row.name) {
                row_parser.add_error("name", "stands on an earlier line already".to_owned());
                continue;
            }
            rows.insert(row.name.clone(), (line, row));
        }
        check_adapter_bases(&rows, &mut errors);
        if !errors.is_empty() {
            return Err(TableError::Cells(errors));
        }
        Ok(Self::from_rows(version, rows.into_values().map(|(_, row)| row)))
    }
}

/// Formats `table` as CSV with the columns of [`COLUMNS`].
pub fn to_csv(table: &Table) -> String {
    let mut writer = Writer::from_writer(Vec::new());
    let written = writer
        .write_record(COLUMNS)
        .and_then(|()| table.rows().try_for_each(|row| writer.write_record(row_cells(row))));
    written.expect("writing CSV to memory can't fail");
    let bytes = writer.into_inner().expect("flushing CSV to memory can't fail");
    String::from_utf8(bytes).expect("cells are UTF-8")
}

/// Returns the cells of `row` in the order of [`COLUMNS`].
fn row_cells(row: &Row) -> [String; 11] {
    [
        row.name.to_string(),
        row.kind.to_string(),
        row.base().map(ToString::to_string).unwrap_or_default(),
        row.memory_bytes.to_string(),
        row.priority.to_string(),
        row.weight.to_string(),
        row.limits.concurrency.to_string(),
        row.limits.rate_per_s.to_string(),
        row.targets.first_token.as_millis().to_string(),
        row.targets.between_tokens.as_millis().to_string(),
        row.idempotent.to_string(),
    ]
}

fn malformed_error(err: csv::Error) -> TableError {
    TableError::Malformed { reason: err.to_string() }
}

/// Returns the position in `header` of each column of [`COLUMNS`].
fn column_positions(header: &StringRecord) -> Result<[usize; 11], TableError> {
    if let Some(unknown) = header.iter().find(|name| !COLUMNS.contains(name)) {
        let reason = format!("unknown column {unknown:?}; known are {}", COLUMNS.join(", "));
        return Err(TableError::Header { reason });
    }
    let mut positions = [0; 11];
    for (position, column) in positions.iter_mut().zip(COLUMNS) {
        let mut matches = header.iter().enumerate().filter(|(_, name)| *name == column);
        let Some((idx, _)) = matches.next() else {
            return Err(TableError::Header { reason: format!("column {column:?} is missing") });
        };
        if matches.next().is_some() {
            return Err(TableError::Header { reason: format!("column {column:?} stands twice") });
        }
        *position = idx;
    }
    Ok(positions)
}

/// Adds an error for each adapter whose base isn't a model of the same table.
fn check_adapter_bases(rows: &BTreeMap<ModelName, (u64, Row)>, errors: &mut Vec<CellError>) {
    for (line, row) in rows.values() {
        let Some(base) = row.base() else { continue };
        let is_model = rows.get(base).is_some_and(|(_, row)| row.kind == RowKind::Model);
        if !is_model {
            errors.push(CellError {
                line: *line,
                row: row.name.to_string(),
                column: "base",
                reason: format!("{base:?} is not a model of this table", base = base.as_str()),
            });
        }
    }
}

/// Parser of one line. Appends an error to `errors` for each invalid cell.
struct RowParser<'a> {
    record: &'a StringRecord,
    positions: &'a [usize; 11],
    line: u64,
    errors: &'a mut Vec<CellError>,
}

impl RowParser<'_> {
    fn cell(&self, column: &'static str) -> &str {
        let position = COLUMNS.iter().position(|name| *name == column);
        let idx = self.positions[position.expect("column is listed in COLUMNS")];
        self.record.get(idx).unwrap_or_default()
    }

    fn add_error(&mut self, column: &'static str, reason: String) {
        let row = self.cell("name").to_owned();
        self.errors.push(CellError { line: self.line, row, column, reason });
    }

    /// Parses the line. Returns `None` if any of its cells is invalid.
    fn parse_row(&mut self) -> Option<Row> {
        let name = self.parse_name();
        let kind = self.parse_kind();
        let memory_bytes = self.parse_number("memory_bytes", 0, MAX_MEMORY_BYTES);
        let priority = self.parse_cell::<Priority>("priority", "must be \"urgent\" or \"patient\"");
        let weight = self.parse_number("weight", 1, u64::from(MAX_WEIGHT));
        let concurrency = self.parse_number("concurrency", 0, u64::from(u32::MAX));
        let rate_per_s = self.parse_number("rate_per_s", 0, u64::from(u32::MAX));
        let first_token_ms = self.parse_number("first_token_ms", 1, MAX_TARGET_MS);
        let between_tokens_ms = self.parse_number("between_tokens_ms", 1, MAX_TARGET_MS);
        let idempotent = self.parse_cell::<bool>("idempotent", "must be \"true\" or \"false\"");
        let kind = kind?;
        let memory_bytes = memory_bytes?;
        if kind != RowKind::Service && memory_bytes == 0 {
            self.add_error(
                "memory_bytes",
                "must be at least 1 for a model or an adapter".to_owned(),
            );
            return None;
        }
        if kind == RowKind::Service && memory_bytes != 0 {
            self.add_error("memory_bytes", "must be 0 for a service".to_owned());
            return None;
        }
        Some(Row {
            name: name?,
            kind,
            memory_bytes,
            priority: priority?,
            weight: weight? as u32,
            limits: Limits { concurrency: concurrency? as u32, rate_per_s: rate_per_s? as u32 },
            targets: Targets {
                first_token: Duration::from_millis(first_token_ms?),
                between_tokens: Duration::from_millis(between_tokens_ms?),
            },
            idempotent: idempotent?,
        })
    }

    fn parse_name(&mut self) -> Option<ModelName> {
        let name = ModelName::parse(self.cell("name"));
        if name.is_none() {
            let reason = "must be 1 to 128 letters, digits or . _ - : /".to_owned();
            self.add_error("name", reason);
        }
        name
    }

    fn parse_kind(&mut self) -> Option<RowKind> {
        let base = self.cell("base").to_owned();
        let kind = match self.cell("kind") {
            "model" => RowKind::Model,
            "service" => RowKind::Service,
            "adapter" if base.is_empty() => {
                self.add_error("base", "must name the base model of the adapter".to_owned());
                return None;
            }
            "adapter" => return Some(RowKind::Adapter { base: ModelName::new(&base) }),
            _ => {
                let reason = "must be \"model\", \"adapter\" or \"service\"".to_owned();
                self.add_error("kind", reason);
                return None;
            }
        };
        if !base.is_empty() {
            self.add_error("base", "must be empty unless the kind is \"adapter\"".to_owned());
            return None;
        }
        Some(kind)
    }

    fn parse_number(&mut self, column: &'static str, min: u64, max: u64) -> Option<u64> {
        let number = self.cell(column).parse::<u64>().ok().filter(|n| (min..=max).contains(n));
        if number.is_none() {
            let text = self.cell(column).to_owned();
            self.add_error(column, format!("{text:?} is not a whole number from {min} to {max}"));
        }
        number
    }

    fn parse_cell<T: FromStr>(&mut self, column: &'static str, accepted: &str) -> Option<T> {
        let parsed = self.cell(column).parse().ok();
        if parsed.is_none() {
            let text = self.cell(column).to_owned();
            self.add_error(column, format!("{text:?} {accepted}"));
        }
        parsed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEADER: &str = "name,kind,base,memory_bytes,priority,weight,concurrency,rate_per_s,\
                          first_token_ms,between_tokens_ms,idempotent\n";

    fn parse(lines: &str) -> Result<Table, TableError> {
        Table::parse_csv(&format!("{HEADER}{lines}"), TableVersion(1))
    }

    #[test]
    fn a_table_written_as_csv_parses_to_the_same_table() {
        let table = parse(
            "chat,model,,1000,urgent,5,0,0,1600,26,true\n\
             chat-wo,adapter,chat,10,patient,1,8,20,1600,26,true\n\
             pickup,service,,0,urgent,9,0,0,500,500,false\n",
        )
        .expect("valid table");
        assert_eq!(Table::parse_csv(&to_csv(&table), TableVersion(1)), Ok(table));
    }

    #[test]
    fn every_invalid_cell_is_reported_with_its_line_and_column() {
        let cases = [
            ("bad name,model,,1,urgent,1,0,0,1,1,true", "name"),
            ("a,engine,,1,urgent,1,0,0,1,1,true", "kind"),
            ("a,adapter,,1,urgent,1,0,0,1,1,true", "base"),
            ("a,adapter,nowhere,1,urgent,1,0,0,1,1,true", "base"),
            ("a,model,b,1,urgent,1,0,0,1,1,true", "base"),
            ("a,model,,0,urgent,1,0,0,1,1,true", "memory_bytes"),
            ("a,service,,5,urgent,1,0,0,1,1,true", "memory_bytes"),
            ("a,model,,1,soon,1,0,0,1,1,true", "priority"),
            ("a,model,,1,urgent,0,0,0,1,1,true", "weight"),
            ("a,model,,1,urgent,1,-1,0,1,1,true", "concurrency"),
            ("a,model,,1,urgent,1,0,x,1,1,true", "rate_per_s"),
            ("a,model,,1,urgent,1,0,0,0,1,true", "first_token_ms"),
            ("a,model,,1,urgent,1,0,0,1,,true", "between_tokens_ms"),
            ("a,model,,1,urgent,1,0,0,1,1,yes", "idempotent"),
        ];
        for (line, column) in cases {
            let Err(TableError::Cells(cells)) = parse(line) else { panic!("{line} was accepted") };
            assert_eq!(cells.len(), 1, "{line}: {cells:?}");
            assert_eq!((cells[0].line, cells[0].column), (2, column), "{line}");
        }
    }

    #[test]
    fn errors_of_several_rows_are_reported_together() {
        let text = "a,model,,0,soon,1,0,0,1,1,true\nb,model,,1,urgent,1,0,0,1,1,maybe\n";
        let Err(TableError::Cells(cells)) = parse(text) else { panic!("accepted") };
        assert_eq!(cells.len(), 3);
    }

    #[test]
    fn a_duplicate_row_is_rejected() {
        let line = "a,model,,1,urgent,1,0,0,1,1,true\n";
        let Err(TableError::Cells(cells)) = parse(&line.repeat(2)) else { panic!("accepted") };
        assert_eq!(cells[0].line, 3);
    }

    #[test]
    fn header_errors_name_the_column() {
        let missing = Table::parse_csv("name,kind\n", TableVersion(1)).expect_err("no columns");
        assert!(missing.to_string().contains("\"base\" is missing"), "{missing}");
        let unknown = Table::parse_csv("name,colour\n", TableVersion(1)).expect_err("bad column");
        assert!(unknown.to_string().contains("\"colour\""), "{unknown}");
    }
}
