//! Control plane messages for membership and configuration.

use binrw::binrw;

use crate::text::{read_list, read_text, write_list, write_text};

/// Whether a member is believed to be alive.
#[binrw]
#[brw(big, repr = u8)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Liveness {
    /// The member answers pings.
    Alive = 1,
    /// The member did not answer and may still refute the suspicion.
    Suspect = 2,
    /// The member was declared dead by its zone.
    Dead = 3,
}

/// The state of one member.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MemberRecord {
    /// Name of the node.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub node: String,
    /// IP address and port of the node's peer listener.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub address: String,
    /// Zone of the node.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub zone: String,
    /// Region of the node.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub region: String,
    /// Incarnation, increased only by the node itself; records with a higher incarnation
    /// replace those with a lower one.
    pub incarnation: u64,
    /// Whether the node is believed to be alive.
    pub liveness: Liveness,
    /// 1 if the node takes no new work, else 0.
    pub leaving: u8,
}

/// The latest report of a zone on its contact with the platform.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneReport {
    /// Name of the zone.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub zone: String,
    /// Region of the zone.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub region: String,
    /// Time since this report was made, in milliseconds.
    pub age_ms: u32,
    /// Time between the zone's last contact with the platform and the report, in
    /// milliseconds.
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
    /// Store revision of the document's last change.
    pub revision: u64,
    /// 1 if the document was deleted, else 0.
    pub deleted: u8,
    /// Id of the change, by which a client recognises its change if the reply was lost.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub change_id: String,
    /// Content of the document as TOML.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub body: String,
}

/// Summary of the configuration that a node has applied.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Digest {
    /// Newest revision applied by the sender.
    pub revision: u64,
    /// Hash over all documents.
    pub hash: u64,
}

/// The revision applied by one node, as last reported to a relay.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeRevision {
    /// Name of the node.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub node: String,
    /// Revision that the node had applied.
    pub revision: u64,
    /// Time since the node's report, in milliseconds.
    pub age_ms: u32,
}

/// A message of the control plane.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlMessage {
    /// Checks that the receiver is alive, and carries membership updates.
    #[brw(magic = 1u8)]
    Ping {
        /// Repeated in the acknowledgement.
        sequence: u64,
        /// Membership updates.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        updates: Vec<MemberRecord>,
    },
    /// Reply to `Ping`.
    #[brw(magic = 2u8)]
    Acknowledge {
        /// Sequence of the ping.
        sequence: u64,
        /// Membership updates.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        updates: Vec<MemberRecord>,
    },
    /// Asks the receiver to ping `target`, which the sender cannot reach.
    #[brw(magic = 3u8)]
    PingRequest {
        /// Repeated in the acknowledgement.
        sequence: u64,
        /// Name of the node to ping.
        #[br(parse_with = read_text)]
        #[bw(write_with = write_text)]
        target: String,
    },
    /// Asks to join the cluster and for the whole member table.
    #[brw(magic = 4u8)]
    Join {
        /// Record of the joining node.
        record: MemberRecord,
    },
    /// The whole member table.
    #[brw(magic = 5u8)]
    Table {
        /// All members known to the sender.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        members: Vec<MemberRecord>,
    },
    /// Announces the sender's configuration and asks for a report on whether it is current.
    #[brw(magic = 6u8)]
    ConfigDigest {
        /// Repeated in the report; ages in the report are relative to the time of sending.
        sequence: u64,
        /// Summary of the sender's configuration.
        digest: Digest,
        /// Hash of the sender's member table.
        members_hash: u64,
    },
    /// Reply to `ConfigDigest`.
    #[brw(magic = 7u8)]
    ConfigReport {
        /// Sequence of the digest.
        sequence: u64,
        /// Summary of the responding node's configuration.
        digest: Digest,
        /// Time since the responding node's last contact with the platform, in milliseconds.
        platform_age_ms: u32,
        /// Latest reports of the zones.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        zones: Vec<ZoneReport>,
    },
    /// The configuration changes between two revisions.
    #[brw(magic = 8u8)]
    ConfigDelta {
        /// Lowest receiver revision for which the changes are complete.
        from: u64,
        /// Revision reached by applying the changes.
        to: u64,
        /// Changed documents.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        documents: Vec<WireDocument>,
    },
    /// Reports the revision that the sender has applied.
    #[brw(magic = 9u8)]
    Applied {
        /// Newest applied revision.
        revision: u64,
    },
    /// Asks for the revisions applied by the nodes in the receiver's zone.
    #[brw(magic = 10u8)]
    RevisionsRequest {
        /// Repeated in the reply.
        sequence: u64,
    },
    /// Reply to `RevisionsRequest`.
    #[brw(magic = 11u8)]
    Revisions {
        /// Sequence of the request.
        sequence: u64,
        /// Revisions of the nodes in the responding node's zone.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        nodes: Vec<NodeRevision>,
    },
    /// Asks for the changes after a revision.
    #[brw(magic = 13u8)]
    ConfigPull {
        /// Newest revision applied by the sender.
        revision: u64,
    },
}
