//! How the outcome of an inquiry changes the recorded contact with an instance.

use std::sync::Arc;

use millwind_core::ids::{GroupName, InstanceName};
use millwind_engine::catalog::InstanceRecord;
use millwind_engine::clock;
use millwind_engine::directory::Directory;
use millwind_engine::execution::RequestTracker;

const INSTANCE: &str = "i-a";

fn directory() -> Arc<Directory> {
    let directory = Directory::new("z1", 0, true);
    directory.apply_record(InstanceRecord {
        name: InstanceName::from(INSTANCE),
        group: GroupName::from("ledger"),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "z1".into(),
        is_leaving: false,
        claims_lead: true,
        slots: 3,
        warm_up_left_ms: 0,
        incarnation: None,
        heartbeat: None,
    });
    Arc::new(directory)
}

#[test]
fn an_answer_by_another_node_is_no_contact_with_the_instance() {
    let directory = directory();
    let instance = InstanceName::from(INSTANCE);
    directory.record_failure(&instance, clock::now(), false);
    RequestTracker::new(&directory, &instance).answered_by_peer();
    let contact = directory.instance(&instance).unwrap().health;
    assert!(directory.is_failing(&instance));
    assert_eq!(contact.last_success, None);
    assert_eq!(contact.statements.in_flight(), 0);
}

#[test]
fn an_instance_that_accepts_an_inquiry_is_no_longer_failing() {
    let directory = directory();
    let instance = InstanceName::from(INSTANCE);
    directory.record_failure(&instance, clock::now(), false);
    RequestTracker::new(&directory, &instance).answered_without_sample();
    assert!(!directory.is_failing(&instance));
}
