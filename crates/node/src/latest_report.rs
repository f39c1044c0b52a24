//! The latest of what several nodes have told of their data centres.

use {
    crate::peer_message::PeerInfo,
    glade_types::DataCentre,
    std::{collections::BTreeMap, time::Instant},
};

/// The latest word of a node of `here`.
pub(crate) fn latest_in_data_centre<'a, T>(
    told: impl Iterator<Item = (&'a PeerInfo, Instant, T)>,
    here: &DataCentre,
) -> Option<T> {
    told.filter(|(info, _, _)| info.data_centre == *here)
        .max_by_key(|(_, at, _)| *at)
        .map(|(_, _, word)| word)
}

/// The latest word of each data centre but `here`: while two nodes speak for one, only one counts.
pub(crate) fn latest_per_other_data_centre<'a, T>(
    told: impl Iterator<Item = (&'a PeerInfo, Instant, T)>,
    here: &DataCentre,
) -> impl Iterator<Item = T> {
    let mut latest: BTreeMap<&str, (Instant, T)> = BTreeMap::new();
    for (info, at, word) in told.filter(|(info, _, _)| info.data_centre != *here) {
        let place = info.data_centre.as_str();
        if latest.get(place).is_none_or(|(known_at, _)| *known_at < at) {
            latest.insert(place, (at, word));
        }
    }
    latest.into_values().map(|(_, word)| word)
}
