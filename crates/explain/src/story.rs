//! All that the logs say of one request.

use {
    crate::{cause::Cause, line::LogLine},
    std::{collections::BTreeSet, fmt},
};

/// Events that say what a VM believed of a server.
const SERVER_EVENTS: [&str; 4] =
    ["server_set_aside", "server_found_gone", "server_gone", "server_leaving"];
/// Events of the control thread that say why a model was or wasn't where it was needed.
const ORDER_EVENTS: [&str; 3] = ["move_decided", "order_answered", "order_done"];
/// Time before a request's first line and after its last from which other lines are shown; a model
/// takes up to three seconds to load.
const AROUND_MS: u64 = 3000;

/// The lines of one request, in order, with those that explain them.
#[derive(Clone, Debug, PartialEq)]
pub struct Story {
    /// The request.
    pub id: String,
    /// Its own lines.
    pub lines: Vec<LogLine>,
    /// What the VM that served it learnt of the servers that it was sent to, and what the holder of
    /// the lease ordered for its model.
    pub around: Vec<LogLine>,
}

impl Story {
    /// Gathers what `lines` say of the request called `id`. `None` if they don't name it.
    pub fn gather(id: &str, lines: &[LogLine]) -> Option<Self> {
        let is_own = |line: &&LogLine| line.text("id") == id;
        let mut own: Vec<LogLine> = lines.iter().filter(is_own).cloned().collect();
        own.sort_by_key(|line| line.t_ms);
        let (first, last) = (own.first()?.t_ms, own.last()?.t_ms);
        let span = first.saturating_sub(AROUND_MS)..=last + AROUND_MS;
        let vms: BTreeSet<&str> = own.iter().map(|line| line.vm.as_str()).collect();
        let named = |key: &str| -> BTreeSet<&str> {
            own.iter().map(|line| line.text(key)).filter(|name| !name.is_empty()).collect()
        };
        let (servers, models) = (named("server"), named("model"));
        let explains = |line: &&LogLine| {
            let of_server = SERVER_EVENTS.contains(&line.event.as_str())
                && servers.contains(line.text("server"))
                && vms.contains(line.vm.as_str());
            let of_model = ORDER_EVENTS.contains(&line.event.as_str())
                && models.iter().any(|model| is_base_or_same(line.text("model"), model));
            span.contains(&line.t_ms) && (of_server || of_model)
        };
        let mut around: Vec<LogLine> = lines.iter().filter(explains).cloned().collect();
        around.sort_by_key(|line| line.t_ms);
        Some(Self { id: id.to_owned(), lines: own, around })
    }

    /// What became of the request, and why.
    pub fn cause(&self) -> Cause {
        Cause::find(&self.lines)
    }
}

/// True if `ordered` is `wanted` or the base model of that adapter.
fn is_base_or_same(ordered: &str, wanted: &str) -> bool {
    ordered == wanted || wanted.split_once('/').is_some_and(|(base, _)| base == ordered)
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let began = self.lines.first().map_or(0, |line| line.t_ms);
        let mut all: Vec<(&LogLine, bool)> = self.lines.iter().map(|line| (line, true)).collect();
        all.extend(self.around.iter().map(|line| (line, false)));
        all.sort_by_key(|(line, _)| line.t_ms);
        writeln!(f, "request {}", self.id)?;
        for (line, is_own) in all {
            let at = line.t_ms as i64 - began as i64;
            let mark = if is_own { ' ' } else { '~' };
            writeln!(f, "{at:>7} ms {mark} {} {} {}", line.vm, line.event, line.details())?;
        }
        write!(f, "cause: {}", self.cause())
    }
}
