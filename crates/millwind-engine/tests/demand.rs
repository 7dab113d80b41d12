//! The recent peak of a pool's demand for connections.

use millwind_core::Instant;
use millwind_engine::backend::demand::PeakDemand;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn a_peak_counts_for_a_limited_time() {
    let mut demand = PeakDemand::default();
    demand.record(at(10_000), 7);
    demand.record(at(10_100), 2);
    assert_eq!(demand.recent_peak(at(10_900)), 7);
    demand.record(at(11_100), 3);
    assert_eq!(demand.recent_peak(at(11_900)), 7);
    demand.record(at(12_200), 1);
    assert_eq!(demand.recent_peak(at(12_300)), 3);
}

#[test]
fn an_idle_pool_has_no_demand() {
    let mut demand = PeakDemand::default();
    demand.record(at(10_000), 7);
    assert_eq!(demand.recent_peak(at(60_000)), 0);
}
