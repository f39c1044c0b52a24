//! What earlier processes of a candidate's VM may have done with the lease. The earlier run of a
//! candidate that was started again in the same process counts as one of them.

/// Terms of earlier processes of the same VM, the least restrictive first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum EarlierProcess {
    /// None within the alternation limit.
    #[default]
    NoTerm,
    /// The term of an earlier process, and no other VM's since.
    HeldLast,
    /// The term of an earlier process may have been followed by another VM's.
    HeldBeforeOther,
}
