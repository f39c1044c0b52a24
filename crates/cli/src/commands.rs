//! The commands.

use {
    crate::{
        args::{Command, Options, TableCommand},
        client::Client,
        error::CliError,
        print,
    },
    glade_adapter::config,
    glade_explain::{LogLine, Story},
    glade_http::{Answer, Bytes, Method},
    glade_settings::{NodeSettings, Settings, SettingsError},
    glade_table::{COLUMNS, RowChange, Table, TableVersion, diff, to_csv},
    percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode},
    serde_json::{Value, json},
    std::{
        io::{self, Read, Write},
        path::{Path, PathBuf},
    },
};

/// Header with the version of a table.
const VERSION_HEADER: &str = "x-table-version";

/// Runs one command.
pub(crate) async fn run(options: Options) -> Result<(), CliError> {
    match &options.command {
        Command::Check { file } => return check(file),
        Command::Explain { id, files } => return explain(id, files),
        _ => {}
    }
    let client = Client::new(options.access()?);
    let json = options.json;
    match &options.command {
        // Done above: they need no VM.
        Command::Check { .. } | Command::Explain { .. } => Ok(()),
        Command::Table { table_command } => table(&client, table_command, json).await,
        Command::Vms => {
            let columns = [
                "vm",
                "role",
                "data_centre",
                "live",
                "leaving",
                "table_version",
                "caller",
                "operator",
                "incarnation",
            ];
            list(&client, "vms", &columns, json).await
        }
        Command::Backends => {
            let columns = [
                "id",
                "kind",
                "data_centre",
                "usable",
                "leaving",
                "running",
                "waiting",
                "slots",
                "memory_bytes",
                "addr",
                "resident",
            ];
            list(&client, "backends", &columns, json).await
        }
        Command::Drain { vm } => {
            let path = format!("drain?vm={}", encoded(vm));
            let answer = client.send_once(Method::POST, &path, Bytes::new()).await?;
            print_text(&answer)
        }
        Command::Burn { row } => burn(&client, row.as_deref(), json).await,
    }
}

fn check(file: &Path) -> Result<(), CliError> {
    let usage = |err: SettingsError| CliError::Usage { reason: err.to_string() };
    let text = read_file(file)?;
    if config::is_configuration(&text) {
        let catalog = config::decode(text.as_bytes())
            .map_err(|err| CliError::Usage { reason: err.to_string() })?;
        let (version, teams) = (catalog.version(), catalog.teams().count());
        let found = format!("configuration {version} with {teams} teams is valid");
        return write_out(&format!("{}: {found}\n", file.display()));
    }
    let name = if NodeSettings::is_node_settings(&text) {
        NodeSettings::parse(&text).map_err(usage)?.vm.to_string()
    } else {
        Settings::parse(&text).map_err(usage)?.vm.name.to_string()
    };
    write_out(&format!("{}: settings of {name} are valid\n", file.display()))
}

/// Prints what the logs in `files` say of a request.
fn explain(id: &str, files: &[PathBuf]) -> Result<(), CliError> {
    let standard_input = [PathBuf::from("-")];
    let files = if files.is_empty() { &standard_input[..] } else { files };
    let (mut lines, mut skipped) = (Vec::new(), 0_u64);
    for file in files {
        for text in read_file(file)?.lines().filter(|text| !text.trim().is_empty()) {
            match LogLine::parse(text) {
                Some(line) => lines.push(line),
                None => skipped += 1,
            }
        }
    }
    eprintln!("{} lines of logs read, {skipped} others skipped", lines.len());
    match Story::gather(id, &lines) {
        Some(story) => write_out(&format!("{story}\n")),
        None => {
            let searched: Vec<String> =
                files.iter().map(|file| file.display().to_string()).collect();
            let reason = format!("no line of request {id} in {}", searched.join(", "));
            Err(CliError::Local { reason })
        }
    }
}

async fn table(client: &Client, command: &TableCommand, json: bool) -> Result<(), CliError> {
    match command {
        TableCommand::Get => {
            let (table, text) = current(client).await?;
            eprintln!("version {}", table.version);
            write_out(&text)
        }
        TableCommand::Diff { file } => {
            let (table, _) = current(client).await?;
            let edited = parse(&read_file(file)?, table.version)?;
            print_diff(&diff(&table, &edited), json)
        }
        TableCommand::Apply { based_on, dry_run, author, file } => {
            let text = read_file(file)?;
            let based_on = TableVersion(*based_on);
            parse(&text, based_on)?;
            apply(client, based_on, author, *dry_run, text, json).await
        }
        TableCommand::Set { author, row, cells } => {
            let (table, text) = current(client).await?;
            let edited = set_cells(&text, row, cells)?;
            parse(&edited, table.version)?;
            apply(client, table.version, author, false, edited, json).await
        }
        TableCommand::State => {
            let columns = ["name", "kind", "under_way", "in_doubt", "attainment", "residences"];
            list(client, "state", &columns, json).await
        }
        TableCommand::History => {
            list(client, "history", &["version", "edit_id", "author", "rows"], json).await
        }
    }
}

/// The table in force and its text.
async fn current(client: &Client) -> Result<(Table, String), CliError> {
    let answer = client.get("table").await?;
    let version = answer.headers.get(VERSION_HEADER).and_then(|value| value.to_str().ok());
    let version = version.and_then(|text| text.parse().ok()).unwrap_or(0);
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    Ok((parse(&text, TableVersion(version))?, text))
}

fn parse(text: &str, version: TableVersion) -> Result<Table, CliError> {
    Table::parse_csv(text, version).map_err(|err| CliError::Usage { reason: err.to_string() })
}

fn read_file(path: &Path) -> Result<String, CliError> {
    let mut text = String::new();
    let read = if path == Path::new("-") {
        io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(path)
    };
    read.map_err(|err| CliError::Usage { reason: format!("can't read {}: {err}", path.display()) })
}

/// Replaces cells of one row in the text of a table.
fn set_cells(text: &str, name: &str, cells: &[String]) -> Result<String, CliError> {
    let usage = |reason: String| CliError::Usage { reason };
    let malformed = |err: csv::Error| usage(err.to_string());
    let mut reader = csv::Reader::from_reader(text.as_bytes());
    let header = reader.headers().map_err(malformed)?.clone();
    let mut records: Vec<Vec<String>> = Vec::new();
    for record in reader.records() {
        records.push(record.map_err(malformed)?.iter().map(str::to_owned).collect());
    }
    let position = |column: &str| header.iter().position(|name| name == column);
    let name_at = position("name").unwrap_or(0);
    let row = records.iter_mut().find(|row| row[name_at] == name);
    let row = row.ok_or_else(|| usage(format!("row {name:?} does not exist in the table")))?;
    for assignment in cells {
        let (column, value) = assignment
            .split_once('=')
            .ok_or_else(|| usage(format!("{assignment:?} is not COLUMN=VALUE")))?;
        let idx = position(column).ok_or_else(|| {
            usage(format!("column {column:?} does not exist; columns are {}", COLUMNS.join(", ")))
        })?;
        row[idx] = value.to_owned();
    }
    let mut writer = csv::Writer::from_writer(Vec::new());
    writer.write_record(&header).map_err(malformed)?;
    for record in &records {
        writer.write_record(record).map_err(malformed)?;
    }
    let bytes = writer.into_inner().map_err(|err| usage(err.to_string()))?;
    String::from_utf8(bytes).map_err(|err| usage(err.to_string()))
}

async fn apply(
    client: &Client,
    based_on: TableVersion,
    author: &str,
    dry_run: bool,
    text: String,
    json: bool,
) -> Result<(), CliError> {
    let dry = if dry_run { "&dry_run=1" } else { "" };
    let path = format!("table?based_on={based_on}&author={}{dry}", encoded(author));
    let answer = client.send_once(Method::PUT, &path, Bytes::from(text)).await?;
    let value = decode(&answer)?;
    if json {
        write_out(&format!("{value}\n"))?;
    }
    judge_edit(&value, json)
}

/// Prints what became of an edit, or turns it into an error.
fn judge_edit(value: &Value, quiet: bool) -> Result<(), CliError> {
    let names = |key: &str| {
        let names = value[key].as_array().into_iter().flatten().filter_map(Value::as_str);
        names.collect::<Vec<_>>().join(", ")
    };
    let message = value["message"].as_str().unwrap_or_default().to_owned();
    let version = &value["version"];
    let line = match value["outcome"].as_str().unwrap_or_default() {
        "committed" if !names("not_confirmed").is_empty() => {
            let open = names("not_confirmed");
            let reason = format!("version {version} is accepted; not confirmed by {open}");
            return Err(CliError::Unconfirmed { reason });
        }
        "committed" => format!("version {version} is in force on {}", names("in_force")),
        "unchanged" => format!("nothing changed, version {version} stands"),
        "dry_run" => format!("valid; would change: {}", names("rows")),
        "conflict" => return Err(CliError::Conflict { reason: message }),
        "unknown" => return Err(CliError::Unconfirmed { reason: message }),
        _ => return Err(CliError::Refused { reason: message }),
    };
    if quiet { Ok(()) } else { write_out(&format!("{line}\n")) }
}

async fn list(client: &Client, path: &str, columns: &[&str], json: bool) -> Result<(), CliError> {
    let answer = client.get(path).await?;
    if !answer.status.is_success() {
        let reason = String::from_utf8_lossy(&answer.body).trim().to_owned();
        return Err(CliError::Refused { reason });
    }
    let value = decode(&answer)?;
    let rows = value.as_array().cloned().unwrap_or_default();
    printed(print::rows(&rows, columns, json))
}

async fn burn(client: &Client, row: Option<&str>, json: bool) -> Result<(), CliError> {
    let value = decode(&client.get("burn").await?)?;
    let lacking = value["lacking"].as_array().map_or(0, Vec::len);
    if lacking > 0 {
        eprintln!("lacking the counts of: {}", value["lacking"]);
    }
    let lines = value["lines"].as_array().cloned().unwrap_or_default();
    let wanted = lines.into_iter().filter(|line| row.is_none_or(|row| line["model"] == row));
    let lines: Vec<Value> = wanted
        .map(|mut line| {
            line["left"] = json!(print::bar(line["budget_left"].as_f64().unwrap_or(0.0)));
            line
        })
        .collect();
    let columns = [
        "model",
        "window_min",
        "requests",
        "left",
        "budget_left",
        "first_token_burn",
        "between_tokens_burn",
        "refusal_burn",
    ];
    printed(print::rows(&lines, &columns, json))
}

fn print_diff(changes: &[RowChange], json: bool) -> Result<(), CliError> {
    if json {
        let value = serde_json::to_string(changes)
            .map_err(|err| CliError::Local { reason: err.to_string() })?;
        return write_out(&format!("{value}\n"));
    }
    let line = |row: &glade_table::Row| {
        let one = Table::from_rows(TableVersion(0), [row.clone()]);
        to_csv(&one).lines().nth(1).unwrap_or_default().to_owned()
    };
    let mut text = String::new();
    for change in changes {
        text += &match change {
            RowChange::Added(row) => format!("+ {}\n", line(row)),
            RowChange::Removed(row) => format!("- {}\n", line(row)),
            RowChange::Changed { before, after } => {
                format!("- {}\n+ {}\n", line(before), line(after))
            }
        };
    }
    write_out(&text)
}

fn decode(answer: &Answer) -> Result<Value, CliError> {
    serde_json::from_slice(&answer.body).map_err(|_| CliError::Refused {
        reason: format!(
            "status {}: {}",
            answer.status,
            String::from_utf8_lossy(&answer.body).trim()
        ),
    })
}

fn print_text(answer: &Answer) -> Result<(), CliError> {
    write_out(&String::from_utf8_lossy(&answer.body))
}

fn write_out(text: &str) -> Result<(), CliError> {
    printed(io::stdout().write_all(text.as_bytes()))
}

/// A reader that went away, as `head` does, is no failure.
fn printed(result: io::Result<()>) -> Result<(), CliError> {
    match result {
        Err(err) if err.kind() != io::ErrorKind::BrokenPipe => {
            Err(CliError::Local { reason: err.to_string() })
        }
        _ => Ok(()),
    }
}

fn encoded(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}

#[cfg(test)]
mod tests {
    use super::*;

    const TEXT: &str = "name,kind\na,model\nb,model\n";

    #[test]
    fn cells_are_set_by_row_and_column() {
        let edited = set_cells(TEXT, "b", &["kind=service".to_owned()]);
        assert_eq!(edited.as_deref(), Ok("name,kind\na,model\nb,service\n"));
    }

    #[test]
    fn mistakes_name_the_thing() {
        let cases = [
            ("c", "kind=model", "\"c\""),
            ("a", "colour=red", "\"colour\""),
            ("a", "kind", "\"kind\""),
        ];
        for (row, cell, named) in cases {
            let err = set_cells(TEXT, row, &[cell.to_owned()]).expect_err(cell);
            assert!(err.to_string().contains(named), "{err}");
        }
    }
}
