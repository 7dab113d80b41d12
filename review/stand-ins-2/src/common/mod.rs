//! The project's own stand-ins of instances.

#[path = "../../../../platform/tests/common/group.rs"]
pub mod group;
#[path = "../../../../platform/tests/common/instance.rs"]
pub mod instance;
#[path = "../../../../platform/tests/common/line_reader.rs"]
pub mod line_reader;
#[path = "../../../../platform/tests/common/link_proxy.rs"]
pub mod link_proxy;
