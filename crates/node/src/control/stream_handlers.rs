//! Handling of records of streams, of questions about them, and of their log in the store.

use {
    super::Control,
    crate::{
        origin_store::OriginTables, read_role::ReadRole, registry_update::RegistryUpdate,
        stream_exchange::StoreContact, stream_store::StreamStore,
    },
    glade_platform::{Snapshot, StoreError, TxnAnswer},
    glade_streams::{LogWrite, StreamQuestion},
    glade_types::{SoftwareVersion, stable_hash},
    std::time::Instant,
};

impl Control {
    /// Does the periodic work for streams.
    pub(super) fn tick_streams(&mut self, now: Instant) {
        let store = StoreContact {
            silence: self.store_outage.time_since_answer(now),
            has_just_failed: self.store_health.has_just_failed(now),
        };
        self.streams.check_contact(now, store, &self.network);
        self.write_stream_log(now);
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

    /// Writes the log if this node reads the store for all, and has the records of all streams.
    fn write_stream_log(&mut self, now: Instant) {
        let new = self.streams.take_new_records();
        let is_writer = *self.read_role.borrow() == ReadRole::Primary && self.network.mesh.is_core;
        let (me, rng) = (&self.network.me, &mut self.rng);
        let name = || format!("{}-{}-{:08x}", me.vm, me.incarnation, rng.u32(..));
        self.stream_store.add(new);
        if self.stream_store.follow(now, is_writer, name, &self.streams) {
            StreamStore::read(now, &self.store, &self.events);
        }
        self.stream_store.write(now, &self.store, &self.events);
    }

    /// Sends what is due, passes answers to the relay, and reads the store if a lookup wants that.
    pub(super) fn act_on_streams(&mut self, now: Instant) {
        self.streams.run_due(now, &mut self.network);
        let origins = self.streams.take_origins();
        if !origins.is_empty() && self.published.origins.try_send(origins).is_err() {
            log::debug!("traffic_behind");
        }
        if self.streams.take_read_wish() {
            self.origin_store.read(now);
        }
    }

    pub(super) fn on_origin_wanted(&mut self, now: Instant, number: u32, question: StreamQuestion) {
        self.streams.on_own_question(now, number, question, &mut self.network);
        self.act_on_streams(now);
    }

    pub(super) fn on_stream_log_read(
        &mut self,
        now: Instant,
        answer: Result<Snapshot, StoreError>,
    ) {
        match answer {
            Ok(log) => {
                let logged = self.stream_store.on_read(now, &log);
                self.streams.on_log_read(now, logged, &mut self.network);
            }
            Err(err) => log::info!(reason = err.to_string().as_str(); "stream_log_read_failed"),
        }
        self.act_on_streams(now);
    }

    pub(super) fn on_origin_tables_read(
        &mut self,
        now: Instant,
        began_at: Instant,
        answer: Result<OriginTables, StoreError>,
    ) {
        let is_answered = answer.is_ok();
        match answer {
            Ok(OriginTables { registry, stream_log }) => {
                let may_hide_servers = self.store_outage.may_hide_servers(now);
                let update = RegistryUpdate::from_snapshot(&registry, may_hide_servers);
                self.on_registry_read(now, update);
                let logged = self.stream_store.on_read(now, &stream_log);
                self.streams.on_log_read(now, logged, &mut self.network);
            }
            Err(err) => log::info!(reason = err.to_string().as_str(); "origin_tables_read_failed"),
        }
        self.streams.on_store_read(now, began_at, is_answered, &mut self.network);
        self.act_on_streams(now);
    }

    pub(super) fn on_stream_log_written(
        &mut self,
        now: Instant,
        write: LogWrite,
        answer: &Result<TxnAnswer, StoreError>,
    ) {
        self.stream_store.on_written(now, write, answer);
    }
}
