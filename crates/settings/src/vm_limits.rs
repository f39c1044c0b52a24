//! Memory and descriptors that a VM allows.

use crate::error::SettingsError;

/// Memory of the smallest VM that the system is meant for, which holds where the settings don't say.
const DEFAULT_MEMORY_MB: f64 = 120.0;
/// Descriptors of the smallest VM that the system is meant for.
const DEFAULT_MAX_DESCRIPTORS: f64 = 3_075.0;
/// Least memory. A node takes about 20 MB for itself.
const MEMORY_MB_MIN: f64 = 32.0;
/// Largest accepted memory, and the largest number of descriptors.
const LIMIT_MAX: f64 = 1_048_576.0;
/// Fewest descriptors: 200 are kept for files.
const MAX_DESCRIPTORS_MIN: f64 = 256.0;
/// Bytes of a megabyte.
const BYTES_PER_MB: f64 = 1_048_576.0;

/// Memory and descriptors that a VM allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmLimits {
    /// Memory in bytes.
    pub memory_bytes: usize,
    /// Number of descriptors.
    pub max_descriptors: usize,
}

impl VmLimits {
    /// Validates what the settings say; absent values are those of the smallest VM.
    pub(crate) fn parse(
        memory_mb: Option<f64>,
        max_descriptors: Option<f64>,
    ) -> Result<Self, SettingsError> {
        let check = |key, value: f64, min: f64| {
            let reason = || format!("must be {min} to {LIMIT_MAX}");
            let is_valid = (min..=LIMIT_MAX).contains(&value);
            is_valid
                .then_some(value)
                .ok_or_else(|| SettingsError::Invalid { key, reason: reason() })
        };
        let memory_mb = memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        let max_descriptors = max_descriptors.unwrap_or(DEFAULT_MAX_DESCRIPTORS);
        let memory_mb = check("vm.memory_mb", memory_mb, MEMORY_MB_MIN)?;
        let max_descriptors = check("vm.max_descriptors", max_descriptors, MAX_DESCRIPTORS_MIN)?;
        Ok(Self {
            memory_bytes: (memory_mb * BYTES_PER_MB) as usize,
            max_descriptors: max_descriptors as usize,
        })
    }
}

impl Default for VmLimits {
    fn default() -> Self {
        Self {
            memory_bytes: (DEFAULT_MEMORY_MB * BYTES_PER_MB) as usize,
            max_descriptors: DEFAULT_MAX_DESCRIPTORS as usize,
        }
    }
}
