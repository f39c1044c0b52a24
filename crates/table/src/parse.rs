//! The table as CSV text.
//!
//! The csv library splits the text; this module checks the cells. All faults of a text are
//! collected before any is reported.

use {
    crate::{
        error::{CellError, TableError},
        row::{Limits, Row, RowKind, Targets},
        table::{Table, TableVersion},
    },
    csv::{ReaderBuilder, StringRecord, Writer},
    glade_types::{ModelName, Priority},
    std::{collections::BTreeMap, str::FromStr, time::Duration},
};

/// Columns of the table in the order in which it is written. A text may have them in any order.
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

/// Longest accepted target, in milliseconds: one hour.
const MAX_TARGET_MS: u64 = 3_600_000;
/// Largest accepted weight.
const MAX_WEIGHT: u32 = 1_000_000;
/// Largest accepted memory of one row: 16 TiB.
const MAX_MEMORY_BYTES: u64 = 1 << 44;

impl Table {
    /// Reads and checks a whole table.
    ///
    /// # Errors
    ///
    /// All wrong cells of the text, or the first fault of its structure.
    pub fn parse_csv(text: &str, version: TableVersion) -> Result<Self, TableError> {
        let mut reader = ReaderBuilder::new().trim(csv::Trim::All).from_reader(text.as_bytes());
        let header = reader.headers().map_err(malformed)?.clone();
        let positions = column_positions(&header)?;
        let mut faults = Vec::new();
        let mut rows = BTreeMap::new();
        for record in reader.records() {
            let record = record.map_err(malformed)?;
            let line = record.position().map_or(0, |pos| pos.line());
            let mut cells =
                Cells { record: &record, positions: &positions, line, faults: &mut faults };
            let Some(row) = cells.row() else { continue };
            if rows.contains_key(&row.name) {
                cells.fault("name", "stands on an earlier line already".to_owned());
                continue;
            }
            rows.insert(row.name.clone(), (line, row));
        }
        check_bases(&rows, &mut faults);
        if !faults.is_empty() {
            return Err(TableError::Cells(faults));
        }
        Ok(Self::from_rows(version, rows.into_values().map(|(_, row)| row)))
    }
}

/// Writes `table` as CSV with the columns of [`COLUMNS`].
pub fn to_csv(table: &Table) -> String {
    let mut writer = Writer::from_writer(Vec::new());
    let written = writer
        .write_record(COLUMNS)
        .and_then(|()| table.rows().try_for_each(|row| writer.write_record(row_cells(row))));
    written.expect("writing CSV to memory can't fail");
    let bytes = writer.into_inner().expect("flushing CSV to memory can't fail");
    String::from_utf8(bytes).expect("cells are UTF-8")
}

/// The cells of `row` in the order of [`COLUMNS`].
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

fn malformed(err: csv::Error) -> TableError {
    TableError::Malformed { reason: err.to_string() }
}

/// Position in `header` of each column of [`COLUMNS`].
fn column_positions(header: &StringRecord) -> Result<[usize; 11], TableError> {
    if let Some(unknown) = header.iter().find(|name| !COLUMNS.contains(name)) {
        let reason = format!("unknown column {unknown:?}; known are {}", COLUMNS.join(", "));
        return Err(TableError::Header { reason });
    }
    let mut positions = [0; 11];
    for (position, column) in positions.iter_mut().zip(COLUMNS) {
        let mut found = header.iter().enumerate().filter(|(_, name)| *name == column);
        let Some((idx, _)) = found.next() else {
            return Err(TableError::Header { reason: format!("column {column:?} is missing") });
        };
        if found.next().is_some() {
            return Err(TableError::Header { reason: format!("column {column:?} stands twice") });
        }
        *position = idx;
    }
    Ok(positions)
}

/// Reports adapters whose base isn't a model of the same table.
fn check_bases(rows: &BTreeMap<ModelName, (u64, Row)>, faults: &mut Vec<CellError>) {
    for (line, row) in rows.values() {
        let Some(base) = row.base() else { continue };
        let is_model = rows.get(base).is_some_and(|(_, row)| row.kind == RowKind::Model);
        if !is_model {
            faults.push(CellError {
                line: *line,
                row: row.name.to_string(),
                column: "base",
                reason: format!("{base:?} is not a model of this table", base = base.as_str()),
            });
        }
    }
}

/// The cells of one line, with the place where faults are collected.
struct Cells<'a> {
    record: &'a StringRecord,
    positions: &'a [usize; 11],
    line: u64,
    faults: &'a mut Vec<CellError>,
}

impl Cells<'_> {
    fn text(&self, column: &'static str) -> &str {
        let position = COLUMNS.iter().position(|name| *name == column);
        let idx = self.positions[position.expect("only known columns are asked for")];
        self.record.get(idx).unwrap_or_default()
    }

    fn fault(&mut self, column: &'static str, reason: String) {
        let row = self.text("name").to_owned();
        self.faults.push(CellError { line: self.line, row, column, reason });
    }

    /// Reads the line; `None` if any of its cells is wrong.
    fn row(&mut self) -> Option<Row> {
        let name = self.name();
        let kind = self.kind();
        let memory_bytes = self.number("memory_bytes", 0, MAX_MEMORY_BYTES);
        let priority = self.parsed::<Priority>("priority", "must be \"urgent\" or \"patient\"");
        let weight = self.number("weight", 1, u64::from(MAX_WEIGHT));
        let concurrency = self.number("concurrency", 0, u64::from(u32::MAX));
        let rate_per_s = self.number("rate_per_s", 0, u64::from(u32::MAX));
        let first_token_ms = self.number("first_token_ms", 1, MAX_TARGET_MS);
        let between_tokens_ms = self.number("between_tokens_ms", 1, MAX_TARGET_MS);
        let idempotent = self.parsed::<bool>("idempotent", "must be \"true\" or \"false\"");
        let kind = kind?;
        let memory_bytes = memory_bytes?;
        if kind != RowKind::Service && memory_bytes == 0 {
            self.fault("memory_bytes", "must be at least 1 for a model or an adapter".to_owned());
            return None;
        }
        if kind == RowKind::Service && memory_bytes != 0 {
            self.fault("memory_bytes", "must be 0 for a service".to_owned());
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

    fn name(&mut self) -> Option<ModelName> {
        let name = ModelName::parse(self.text("name"));
        if name.is_none() {
            let reason = "must be 1 to 128 letters, digits or . _ - : /".to_owned();
            self.fault("name", reason);
        }
        name
    }

    fn kind(&mut self) -> Option<RowKind> {
        let base = self.text("base").to_owned();
        let kind = match self.text("kind") {
            "model" => RowKind::Model,
            "service" => RowKind::Service,
            "adapter" if base.is_empty() => {
                self.fault("base", "must name the base model of the adapter".to_owned());
                return None;
            }
            "adapter" => return Some(RowKind::Adapter { base: ModelName::new(&base) }),
            _ => {
                let reason = "must be \"model\", \"adapter\" or \"service\"".to_owned();
                self.fault("kind", reason);
                return None;
            }
        };
        if !base.is_empty() {
            self.fault("base", "must be empty unless the kind is \"adapter\"".to_owned());
            return None;
        }
        Some(kind)
    }

    fn number(&mut self, column: &'static str, min: u64, max: u64) -> Option<u64> {
        let number = self.text(column).parse::<u64>().ok().filter(|n| (min..=max).contains(n));
        if number.is_none() {
            let text = self.text(column).to_owned();
            self.fault(column, format!("{text:?} is not a whole number from {min} to {max}"));
        }
        number
    }

    fn parsed<T: FromStr>(&mut self, column: &'static str, accepted: &str) -> Option<T> {
        let parsed = self.text(column).parse().ok();
        if parsed.is_none() {
            let text = self.text(column).to_owned();
            self.fault(column, format!("{text:?} {accepted}"));
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
    fn what_is_written_reads_back_the_same() {
        let table = parse(
            "chat,model,,1000,urgent,5,0,0,1600,26,true\n\
             chat-wo,adapter,chat,10,patient,1,8,20,1600,26,true\n\
             pickup,service,,0,urgent,9,0,0,500,500,false\n",
        )
        .expect("valid table");
        assert_eq!(Table::parse_csv(&to_csv(&table), TableVersion(1)), Ok(table));
    }

    #[test]
    fn every_wrong_cell_is_reported_with_its_place() {
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
    fn faults_of_several_rows_are_reported_together() {
        let text = "a,model,,0,soon,1,0,0,1,1,true\nb,model,,1,urgent,1,0,0,1,1,maybe\n";
        let Err(TableError::Cells(cells)) = parse(text) else { panic!("accepted") };
        assert_eq!(cells.len(), 3);
    }

    #[test]
    fn a_doubled_row_is_refused() {
        let line = "a,model,,1,urgent,1,0,0,1,1,true\n";
        let Err(TableError::Cells(cells)) = parse(&line.repeat(2)) else { panic!("accepted") };
        assert_eq!(cells[0].line, 3);
    }

    #[test]
    fn header_faults_name_the_column() {
        let missing = Table::parse_csv("name,kind\n", TableVersion(1)).expect_err("no columns");
        assert!(missing.to_string().contains("\"base\" is missing"), "{missing}");
        let unknown = Table::parse_csv("name,colour\n", TableVersion(1)).expect_err("bad column");
        assert!(unknown.to_string().contains("\"colour\""), "{unknown}");
    }
}
