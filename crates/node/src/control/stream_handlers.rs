//! Handling of records of streams, and of questions about them.

use {
    super::Control,
    glade_streams::StreamQuestion,
    glade_types::{SoftwareVersion, stable_hash},
    std::time::Instant,
};

impl Control {
    /// Does the periodic work for streams.
    pub(super) fn tick_streams(&mut self, now: Instant) {
        self.streams.on_mesh(now, &self.network);
        self.act_on_streams(now);
    }

    /// Records which software versions the known servers have.
    pub(super) fn update_server_versions(&mut self, now: Instant) {
        let records = self.registry.records(now).map(|(record, _)| record);
        // The version of a server may come after its entry.
        let versioned = records.filter(|record| record.version != SoftwareVersion::default());
        let servers = versioned.map(|record| {
            let service = stable_hash(record.service.as_str().as_bytes()) as u32;
            (service, record.version_hash())
        });
        self.streams.on_servers(now, servers);
    }

    /// Sends what is due, and passes answers to the relay.
    pub(super) fn act_on_streams(&mut self, now: Instant) {
        self.streams.run_due(now, &mut self.network);
        let origins = self.streams.take_origins();
        if !origins.is_empty() && self.published.origins.try_send(origins).is_err() {
            log::debug!("traffic_behind");
        }
    }

    pub(super) fn on_origin_wanted(&mut self, now: Instant, number: u32, question: StreamQuestion) {
        self.streams.on_own_question(now, number, question, &mut self.network);
        self.act_on_streams(now);
    }
}
