//! Which of several faults of a server is in force.

use super::*;

#[test]
fn a_stall_shows_while_no_other_fault_is_on() {
    let (pauses, breaks) = (EngineFault::PausesAfter(2), EngineFault::BreaksAfter(1));
    let mut faults = ServerFaults::default();
    faults.begin_stall(EngineFault::PausesAfter(1));
    faults.begin_stall(pauses);
    assert_eq!(faults.present(), pauses);
    faults.set(breaks);
    assert_eq!(faults.present(), breaks);
    faults.set(EngineFault::None);
    faults.end_stall(EngineFault::PausesAfter(1));
    assert_eq!(faults.present(), pauses);
    faults.end_stall(pauses);
    assert_eq!(faults.present(), EngineFault::None);
}
