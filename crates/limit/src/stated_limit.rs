//! What one answer says of its server's limit.

/// What an answer says of the rate of requests that its server takes from all VMs together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// The server states no limit.
    #[default]
    None,
    /// The server states something that is not a rate.
    Unreadable,
    /// The server takes this many requests per second.
    PerSecond(f64),
}
