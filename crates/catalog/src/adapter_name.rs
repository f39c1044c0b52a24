//! Parses adapter names, which consist of the base model's name, a slash, and the adapter's own name.

use glade_types::ModelName;

/// Returns true if `name` names an adapter rather than a base model.
pub fn is_adapter(name: &ModelName) -> bool {
    name.as_str().contains('/')
}

/// Returns the base model's name for an adapter, or `name` unchanged for a base model.
pub fn base_model_of(name: &ModelName) -> &str {
    name.as_str().split_once('/').map_or(name.as_str(), |(base, _)| base)
}

/// Returns true if `name` names an adapter of the base model `base`.
pub fn is_adapter_of(name: &ModelName, base: &ModelName) -> bool {
    is_adapter(name) && base_model_of(name) == base.as_str()
}
