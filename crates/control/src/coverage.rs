//! Which group owes a residence to a row that has none.
//!
//! Groups are ranked for each base model by rendezvous hash over the groups that have a usable
//! engine. The first owes the row at once and each further one some time later, so that a group
//! without room is helped out without any message.

use {
    crate::planner_config::PlannerConfig,
    glade_fleet::{EngineView, Fleet},
    glade_table::Table,
    glade_types::{GroupId, ModelName, rendezvous_order},
    std::{
        collections::{BTreeSet, HashMap, HashSet},
        time::{Duration, Instant},
    },
};

/// How much longer each less preferred group waits.
const RANK_DELAY: Duration = Duration::from_secs(3);
/// Ranks by which a group without its base comes later to cover an adapter: it has to load the base
/// as well.
const ADAPTER_HELP_RANK: u32 = 3;

/// What the decision is made from.
#[derive(Clone, Copy)]
pub(crate) struct CoverageInput<'a> {
    pub(crate) now: Instant,
    pub(crate) config: &'a PlannerConfig,
    pub(crate) table: &'a Table,
    pub(crate) fleet: &'a Fleet,
}

/// Since when each row without a residence has had none.
#[derive(Debug, Default)]
pub(crate) struct Coverage {
    uncovered_since: HashMap<ModelName, Instant>,
}

impl Coverage {
    /// Takes note of the rows that no usable engine holds.
    pub(crate) fn note(&mut self, situation: CoverageInput<'_>) {
        let CoverageInput { now, table, .. } = situation;
        let covered: HashSet<&ModelName> = situation
            .usable()
            .filter_map(|view| view.current_residency())
            .flat_map(|(residency, _)| residency.resident.iter().map(|(name, _)| name))
            .collect();
        self.uncovered_since
            .retain(|name, _| table.row(name.as_str()).is_some() && !covered.contains(name));
        for row in table.loadable().filter(|row| !covered.contains(&row.name)) {
            self.uncovered_since.entry(row.name.clone()).or_insert(now);
        }
    }

    /// Rows that `group` has to cover by now.
    pub(crate) fn owed(
        &self,
        group: &GroupId,
        situation: CoverageInput<'_>,
    ) -> HashSet<&ModelName> {
        let groups = situation.live_groups();
        let due = |name: &ModelName, since: Instant| {
            let rank = situation.rank(group, name, &groups);
            rank.is_some_and(|rank| situation.now >= since + RANK_DELAY * rank)
        };
        let owed = self.uncovered_since.iter().filter(|(name, since)| due(name, **since));
        owed.map(|(name, _)| name).collect()
    }
}

impl<'a> CoverageInput<'a> {
    /// Engines that reported lately and aren't leaving.
    fn usable(self) -> impl Iterator<Item = &'a EngineView> {
        let (now, stale) = (self.now, self.config.max_report_age);
        self.fleet.iter().filter(move |view| view.is_usable(now, stale))
    }

    fn group_of(&self, view: &EngineView) -> GroupId {
        self.config.group_of(&view.record.id, &view.record.data_centre)
    }

    /// Groups with a usable engine.
    fn live_groups(&self) -> BTreeSet<GroupId> {
        self.usable().map(|view| self.group_of(view)).collect()
    }

    /// How many groups come before `group` in covering `name`; `None` if it has no usable engine.
    fn rank(&self, group: &GroupId, name: &ModelName, groups: &BTreeSet<GroupId>) -> Option<u32> {
        let base = self.table.row(name.as_str()).and_then(|row| row.base());
        let anchor = base.unwrap_or(name);
        let order = rendezvous_order(anchor.as_str(), groups.iter().map(GroupId::as_str));
        let rank = order.iter().position(|other| *other == group.as_str())?;
        let rank = u32::try_from(rank).ok()?;
        Some(match base {
            // An adapter goes where its base is.
            Some(base) if self.group_holds(group, base) => 0,
            Some(_) => rank + ADAPTER_HELP_RANK,
            None => rank,
        })
    }

    /// True if a usable engine of the group reports to hold `model`.
    fn group_holds(&self, group: &GroupId, model: &ModelName) -> bool {
        self.usable().any(|view| view.holds(model) && self.group_of(view) == *group)
    }
}
