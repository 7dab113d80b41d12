//! Messages of the control plane: membership and configuration.

use binrw::binrw;

use crate::text::{read_list, read_text, write_list, write_text};

/// Whether a member is believed to be alive.
#[binrw]
#[brw(big, repr = u8)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Liveness {
    /// Answers.
    Alive = 1,
    /// Did not answer; may still refute.
    Suspect = 2,
    /// Declared dead by its zone.
    Dead = 3,
}

/// What is said of one member.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MemberRecord {
    /// The node.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub node: String,
    /// IP number and port of its peer listener.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub address: String,
    /// Its zone.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub zone: String,
    /// Its region.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub region: String,
    /// Raised by the node itself; a higher one beats every older word.
    pub incarnation: u64,
    /// Whether it is believed alive.
    pub liveness: Liveness,
    /// 1 when it takes no new work, else 0.
    pub leaving: u8,
}

/// What a zone last reported of its contact with the platform.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneReport {
    /// The zone.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub zone: String,
    /// Its region.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub region: String,
    /// Time since this report was made, in milliseconds.
    pub age_ms: u32,
    /// Time since the zone last heard the platform when it reported.
    pub platform_age_ms: u32,
}

/// One configuration document, or its deletion.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireDocument {
    /// Kind and name, for example `tenant/naas`.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub key: String,
    /// Store revision of its last change.
    pub revision: u64,
    /// 1 when deleted, else 0.
    pub deleted: u8,
    /// Names the change, so that a lost answer can be recognised.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub change_id: String,
    /// TOML text.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub body: String,
}

/// What a node says of the configuration it has in force.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Digest {
    /// Newest revision in force on the sender.
    pub revision: u64,
    /// Hash over all documents.
    pub hash: u64,
}

/// Revision in force on one node, as a relay last heard it.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeRevision {
    /// The node.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub node: String,
    /// Revision it had in force.
    pub revision: u64,
    /// Time since it said so, in milliseconds.
    pub age_ms: u32,
}

/// A message of the control plane.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlMessage {
    /// Are you alive? Carries news of members.
    #[brw(magic = 1u8)]
    Ping {
        /// Matches the acknowledgement.
        sequence: u64,
        /// News of members.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        updates: Vec<MemberRecord>,
    },
    /// Answer to `Ping`.
    #[brw(magic = 2u8)]
    Acknowledge {
        /// Sequence of the ping.
        sequence: u64,
        /// News of members.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        updates: Vec<MemberRecord>,
    },
    /// Ping `target` for me; I could not reach it.
    #[brw(magic = 3u8)]
    PingRequest {
        /// Matches the acknowledgement.
        sequence: u64,
        /// Node to ping.
        #[br(parse_with = read_text)]
        #[bw(write_with = write_text)]
        target: String,
    },
    /// Let me in, and tell me the whole table.
    #[brw(magic = 4u8)]
    Join {
        /// The newcomer.
        record: MemberRecord,
    },
    /// The whole table.
    #[brw(magic = 5u8)]
    Table {
        /// All members known.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        members: Vec<MemberRecord>,
    },
    /// My configuration and what I need to know that it is current.
    #[brw(magic = 6u8)]
    ConfigDigest {
        /// Matches the report; ages in it count from when this was sent.
        sequence: u64,
        /// What the sender has in force.
        digest: Digest,
        /// Hash over the sender's member table.
        members_hash: u64,
    },
    /// Answer to `ConfigDigest`.
    #[brw(magic = 7u8)]
    ConfigReport {
        /// Sequence of the digest.
        sequence: u64,
        /// What the answering node has in force.
        digest: Digest,
        /// Time since the answering node heard the platform, in milliseconds.
        platform_age_ms: u32,
        /// What the zones last reported.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        zones: Vec<ZoneReport>,
    },
    /// Changes from one revision to another.
    #[brw(magic = 8u8)]
    ConfigDelta {
        /// Complete for receivers at this revision or above.
        from: u64,
        /// Revision reached by applying it.
        to: u64,
        /// Changed documents.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        documents: Vec<WireDocument>,
    },
    /// I have this revision in force.
    #[brw(magic = 9u8)]
    Applied {
        /// The revision.
        revision: u64,
    },
    /// Which revisions have your zone's nodes in force?
    #[brw(magic = 10u8)]
    RevisionsRequest {
        /// Matches the reply.
        sequence: u64,
    },
    /// Answer to `RevisionsRequest`.
    #[brw(magic = 11u8)]
    Revisions {
        /// Sequence of the request.
        sequence: u64,
        /// Nodes of the answering node's zone.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        nodes: Vec<NodeRevision>,
    },
    /// Send me what I lack beyond this revision.
    #[brw(magic = 13u8)]
    ConfigPull {
        /// Newest revision in force on the sender.
        revision: u64,
    },
}
