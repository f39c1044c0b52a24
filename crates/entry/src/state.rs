//! The state of every row, for operators.

use {
    crate::{burn::BurnReport, shared::Shared},
    glade_platform::TableService,
    glade_types::ModelName,
    serde::Serialize,
    std::collections::HashMap,
};

/// Prefix of the ledgers' keys in the table service.
const LEDGER_PREFIX: &str = "ledger/";

/// State of one row.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RowState {
    pub(crate) name: String,
    pub(crate) kind: String,
    /// Engines that report to hold the row.
    pub(crate) residences: Vec<String>,
    /// Loads without an answer, or `None` if the table service gave no answer.
    pub(crate) in_doubt: Option<usize>,
    /// Requests of this VM under way.
    pub(crate) under_way: u32,
    /// Share of the requests of the last five minutes that met their need; `None` without any.
    pub(crate) attainment: Option<f64>,
}

/// The parts of a ledger that the state shows.
#[derive(Debug, serde::Deserialize)]
struct LedgerPart {
    entries: HashMap<ModelName, EntryPart>,
}

#[derive(Debug, serde::Deserialize)]
struct EntryPart {
    #[serde(default)]
    open_loads: Vec<u64>,
}

/// The state of all rows, in the order of their names.
pub(crate) async fn row_states(shared: &Shared, burn: &BurnReport) -> Vec<RowState> {
    let in_doubt = loads_in_doubt(shared).await;
    let routes = shared.routes.load();
    let state = |row: &glade_table::Row| {
        let holders = routes.holders.get(&row.name).map_or(&[][..], Vec::as_slice);
        let names = holders.iter().map(|idx| routes.engines[*idx as usize].id.to_string());
        let servers = routes.services.get(&row.name).into_iter().flatten();
        RowState {
            name: row.name.to_string(),
            kind: row.kind.to_string(),
            residences: names.chain(servers.map(|server| server.id.to_string())).collect(),
            in_doubt: in_doubt
                .as_ref()
                .map(|counts| counts.get(&row.name).copied().unwrap_or_default()),
            under_way: routes.limiters.get(&row.name).map_or(0, |limiter| limiter.in_flight()),
            attainment: attainment(burn, row.name.as_str()),
        }
    };
    routes.table.rows().map(state).collect()
}

async fn loads_in_doubt(shared: &Shared) -> Option<HashMap<ModelName, usize>> {
    let rows = shared.platform.store.scan(LEDGER_PREFIX).await.ok()?;
    let mut counts: HashMap<ModelName, usize> = HashMap::new();
    for row in rows {
        let Ok(ledger) = serde_json::from_slice::<LedgerPart>(&row.value) else { continue };
        for (model, entry) in ledger.entries {
            *counts.entry(model).or_default() += entry.open_loads.len();
        }
    }
    Some(counts)
}

fn attainment(burn: &BurnReport, model: &str) -> Option<f64> {
    let tally = burn.get(model)?.first()?.tally;
    let missed = tally.late_first + tally.refused;
    (tally.requests > 0).then(|| 1.0 - missed as f64 / tally.requests as f64)
}
