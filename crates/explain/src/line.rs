//! One line of a log.

use serde_json::{Map, Value};

/// A line that a node has written.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Time by the VM's wall clock, in milliseconds since the epoch.
    pub t_ms: u64,
    /// VM that wrote it.
    pub vm: String,
    /// What happened.
    pub event: String,
    /// Everything else that the line says.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line. Whatever stands before the first brace is left out, since collectors of logs
    /// put the time or the VM there. `None` if the rest isn't a line of a node.
    pub fn parse(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let mut fields: Map<String, Value> = serde_json::from_str(json.trim_end()).ok()?;
        let t_ms = fields.remove("t_ms")?.as_u64()?;
        let mut name = |key| match fields.remove(key) {
            Some(Value::String(name)) => Some(name),
            _ => None,
        };
        let (vm, event) = (name("vm")?, name("event")?);
        fields.remove("level");
        Some(Self { t_ms, vm, event, fields })
    }

    /// A field as text; empty if it isn't there.
    pub fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or_default()
    }

    /// A field as a number; 0 if it isn't there.
    pub fn number(&self, key: &str) -> u64 {
        self.fields.get(key).and_then(Value::as_u64).unwrap_or_default()
    }

    /// True if the field is there and true.
    pub fn flag(&self, key: &str) -> bool {
        self.fields.get(key).and_then(Value::as_bool).unwrap_or_default()
    }

    /// The fields as `name=value`, without the request's id.
    pub fn details(&self) -> String {
        let shown = self.fields.iter().filter(|(key, _)| key.as_str() != "id");
        let pairs = shown.map(|(key, value)| match value {
            Value::String(text) => format!("{key}={text}"),
            other => format!("{key}={other}"),
        });
        pairs.collect::<Vec<_>>().join(" ")
    }
}
