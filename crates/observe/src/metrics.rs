//! A meter whose readings are rendered on request.

use {
    opentelemetry::{
        KeyValue,
        metrics::{Meter, MeterProvider},
    },
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Encoder, Registry, TextEncoder},
};

/// The metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    meter: Meter,
}

impl Metrics {
    /// Returns metrics without instruments. `scope` names the process.
    pub fn open(scope: &'static str) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .expect("a fresh registry accepts its only exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(scope);
        Self { registry, provider, meter }
    }

    /// For making instruments.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Adds a gauge that is read when metrics are rendered.
    pub fn gauge(
        &self,
        name: &'static str,
        description: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        self.meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |observer| observer.observe(read(), &[]))
            .build();
    }

    /// Adds a gauge with a reading for each value of `label`, read when metrics are rendered.
    pub fn gauge_by(
        &self,
        name: &'static str,
        description: &'static str,
        label: &'static str,
        read: impl Fn() -> Vec<(&'static str, u64)> + Send + Sync + 'static,
    ) {
        self.meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |observer| {
                for (value, reading) in read() {
                    observer.observe(reading, &[KeyValue::new(label, value)]);
                }
            })
            .build();
    }

    /// Adds a counter that is read when metrics are rendered. `read` never decreases.
    pub fn counter(
        &self,
        name: &'static str,
        description: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        self.meter
            .u64_observable_counter(name)
            .with_description(description)
            .with_callback(move |observer| observer.observe(read(), &[]))
            .build();
    }

    /// Adds a counter with a reading for each value of `label`, read when metrics are rendered. No
    /// reading ever decreases.
    pub fn counter_by(
        &self,
        name: &'static str,
        description: &'static str,
        label: &'static str,
        read: impl Fn() -> Vec<(&'static str, u64)> + Send + Sync + 'static,
    ) {
        self.meter
            .u64_observable_counter(name)
            .with_description(description)
            .with_callback(move |observer| {
                for (value, count) in read() {
                    observer.observe(count, &[KeyValue::new(label, value)]);
                }
            })
            .build();
    }

    /// All readings in Prometheus' text form.
    pub fn render(&self) -> String {
        let mut buf = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
            Err(err) => format!("# metrics can't be rendered: {err}\n"),
        }
    }
}

impl Drop for Metrics {
    fn drop(&mut self) {
        if let Err(err) = self.provider.shutdown() {
            log::debug!("metrics: {err}");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn instruments_are_rendered_by_name() {
        let metrics = Metrics::open("test");
        metrics.gauge("lease_held", "Leases held.", || 3);
        metrics.counter("orders", "Orders sent.", || 7);
        let text = metrics.render();
        assert!(text.contains("lease_held 3"), "{text}");
        assert!(text.contains("orders_total 7"), "{text}");
    }

    #[test]
    fn a_counter_has_a_reading_for_each_value_of_its_label() {
        let metrics = Metrics::open("test");
        metrics.counter_by("messages", "Messages.", "kind", || vec![("beat", 3), ("loads", 4)]);
        let text = metrics.render();
        assert!(text.contains(r#"messages_total{kind="beat"} 3"#), "{text}");
        assert!(text.contains(r#"messages_total{kind="loads"} 4"#), "{text}");
    }
}
