//! Decides which engine group has to load a model that no usable engine holds.
//!
//! A row of the model table that takes accelerator memory is a base model or an adapter on top of a
//! base model. For each base model, rendezvous hashing ranks the groups that have a usable engine.
//! The first group has to load an uncovered row at once and each further group some time later. If
//! a group has no free capacity, the next one takes over without any message between the groups.

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

/// Further delay for each rank before a group has to load an uncovered row.
const DELAY_PER_RANK: Duration = Duration::from_secs(3);
/// Ranks added for an adapter to a group that doesn't hold the adapter's base model, because such a
/// group has to load the base model as well.
const MISSING_BASE_RANKS: u32 = 3;

/// Inputs of the decision.
#[derive(Clone, Copy)]
pub(crate) struct CoverageInput<'a> {
    pub(crate) now: Instant,
    pub(crate) config: &'a PlannerConfig,
    pub(crate) table: &'a Table,
    pub(crate) fleet: &'a Fleet,
}

/// Tracks the rows that no usable engine holds, and since when.
#[derive(Debug, Default)]
pub(crate) struct Coverage {
    uncovered_since: HashMap<ModelName, Instant>,
}

impl Coverage {
    /// Updates the set of rows that no usable engine holds.
    pub(crate) fn update(&mut self, input: CoverageInput<'_>) {
        let CoverageInput { now, table, .. } = input;
        let covered: HashSet<&ModelName> = input
            .usable_engines()
            .filter_map(|view| view.current_residency())
            .flat_map(|(residency, _)| residency.resident.iter().map(|(name, _)| name))
            .collect();
        self.uncovered_since
            .retain(|name, _| table.row(name.as_str()).is_some() && !covered.contains(name));
        for row in table.loadable().filter(|row| !covered.contains(&row.name)) {
            self.uncovered_since.entry(row.name.clone()).or_insert(now);
        }
    }

    /// Returns the uncovered rows that `group` has to load by now.
    pub(crate) fn required(
        &self,
        group: &GroupId,
        input: CoverageInput<'_>,
    ) -> HashSet<&ModelName> {
        let groups = input.usable_groups();
        let due = |name: &ModelName, since: Instant| {
            let rank = input.rank(group, name, &groups);
            rank.is_some_and(|rank| input.now >= since + DELAY_PER_RANK * rank)
        };
        let required = self.uncovered_since.iter().filter(|(name, since)| due(name, **since));
        required.map(|(name, _)| name).collect()
    }
}

impl<'a> CoverageInput<'a> {
    /// Returns the engines whose last report is recent and that aren't draining.
    fn usable_engines(self) -> impl Iterator<Item = &'a EngineView> {
        let (now, max_age) = (self.now, self.config.max_report_age);
        self.fleet.iter().filter(move |view| view.is_usable(now, max_age))
    }

    fn group_of(&self, view: &EngineView) -> GroupId {
        self.config.group_of(&view.record.id, &view.record.data_centre)
    }

    /// Returns the groups that have a usable engine.
    fn usable_groups(&self) -> BTreeSet<GroupId> {
        self.usable_engines().map(|view| self.group_of(view)).collect()
    }

    /// Returns how many groups have to load `name` before `group`, or `None` if `group` has no
    /// usable engine.
    fn rank(&self, group: &GroupId, name: &ModelName, groups: &BTreeSet<GroupId>) -> Option<u32> {
        let base = self.table.row(name.as_str()).and_then(|row| row.base());
        let ranked_model = base.unwrap_or(name);
        let order = rendezvous_order(ranked_model.as_str(), groups.iter().map(GroupId::as_str));
        let rank = order.iter().position(|other| *other == group.as_str())?;
        let rank = u32::try_from(rank).ok()?;
        Some(match base {
            // An adapter belongs on an engine that holds its base model.
            Some(base) if self.group_holds(group, base) => 0,
            Some(_) => rank + MISSING_BASE_RANKS,
            None => rank,
        })
    }

    /// Returns true if a usable engine of the group reports `model` as resident.
    fn group_holds(&self, group: &GroupId, model: &ModelName) -> bool {
        self.usable_engines().any(|view| view.holds(model) && self.group_of(view) == *group)
    }
}
