//! Selects the latest report about a data centre when several of its nodes have sent one.

use {
    crate::peer_message::PeerInfo,
    glade_types::DataCentre,
    std::{collections::BTreeMap, time::Instant},
};

/// The latest report from a node of `data_centre`. Each report is given with its sender and its
/// time of arrival.
pub(crate) fn latest_in_data_centre<'a, T>(
    reports: impl Iterator<Item = (&'a PeerInfo, Instant, T)>,
    data_centre: &DataCentre,
) -> Option<T> {
    reports
        .filter(|(sender, _, _)| sender.data_centre == *data_centre)
        .max_by_key(|(_, at, _)| *at)
        .map(|(_, _, report)| report)
}

/// The latest report from each data centre but `own`. While two nodes act as primary core of the
/// same data centre, only the later report counts.
pub(crate) fn latest_per_other_data_centre<'a, T>(
    reports: impl Iterator<Item = (&'a PeerInfo, Instant, T)>,
    own: &DataCentre,
) -> impl Iterator<Item = T> {
    let mut latest: BTreeMap<&str, (Instant, T)> = BTreeMap::new();
    for (sender, at, report) in reports.filter(|(sender, _, _)| sender.data_centre != *own) {
        let data_centre = sender.data_centre.as_str();
        if latest.get(data_centre).is_none_or(|(latest_at, _)| *latest_at < at) {
            latest.insert(data_centre, (at, report));
        }
    }
    latest.into_values().map(|(_, report)| report)
}
