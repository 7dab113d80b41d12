//! What engine nodes ask each other: the catalog when the store is not heard,
//! and whether a leader is reached.

use std::io::Cursor;

use binrw::{BinRead, BinWrite, binrw};
use thiserror::Error;

use crate::compressed::{Compressed, DecompressError};
use crate::forward::LeaderReport;
use crate::store_revision::StoreRevision;
use crate::text;

/// Version of this protocol; the first byte of every message.
pub const EXCHANGE_VERSION: u8 = 10;

/// One document of the store.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredDocument {
    /// Its key.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub key: String,
    /// Store revision of its last change that matters.
    pub revision: StoreRevision,
    /// One if it was removed; its value is then empty.
    pub removed: u8,
    /// Its value.
    #[br(parse_with = text::read_bytes)]
    #[bw(write_with = text::write_bytes)]
    pub value: Vec<u8>,
}

/// Documents of one kind that travel together.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DocumentList {
    /// Many of them, written one after the other and compressed: none or one part.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    packed: Vec<Compressed>,
    /// Those that changed since that part was made.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    plain: Vec<StoredDocument>,
}

/// Documents in the order in which they are compressed.
#[binrw]
#[brw(big)]
struct PackedDocuments {
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    documents: Vec<StoredDocument>,
}

/// Compresses documents for a [`DocumentList`].
pub fn pack_documents(documents: Vec<StoredDocument>) -> Result<Compressed, std::io::Error> {
    let mut bytes = Cursor::new(Vec::new());
    let packed = PackedDocuments { documents };
    packed.write_be(&mut bytes).map_err(std::io::Error::other)?;
    Compressed::pack(bytes.get_ref())
}

/// Why a [`DocumentList`] cannot be read.
#[derive(Debug, Error)]
pub enum DocumentListError {
    /// Its compressed part is damaged.
    #[error("compressed documents: {0}")]
    Compressed(#[from] DecompressError),
    /// What was compressed are no documents.
    #[error("documents: {0}")]
    Malformed(#[from] binrw::Error),
}

impl DocumentList {
    /// Documents as they are, and before them `packed` ones.
    pub fn new(packed: Option<Compressed>, plain: Vec<StoredDocument>) -> Self {
        DocumentList {
            packed: packed.into_iter().collect(),
            plain,
        }
    }

    /// The same with `plain` documents after them.
    pub fn followed_by(mut self, plain: Vec<StoredDocument>) -> Self {
        self.plain.extend(plain);
        self
    }

    /// The documents; a later one under the same key replaces an earlier one.
    pub fn into_documents(self) -> Result<Vec<StoredDocument>, DocumentListError> {
        let mut documents = Vec::new();
        for part in &self.packed {
            let bytes = part.unpack()?;
            documents.extend(PackedDocuments::read_be(&mut Cursor::new(bytes))?.documents);
        }
        documents.extend(self.plain);
        Ok(documents)
    }
}

/// A version of the configuration.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigDocument {
    /// The version.
    pub version: u64,
    /// Time since some node first read it from the store, in milliseconds; the
    /// greatest value for longer than that.
    pub age_ms: u32,
    /// Its document.
    pub document: Compressed,
}

/// A request to evacuate a zone.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuatedZone {
    /// The zone.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub zone: String,
    /// Time since when the request may have been made, in milliseconds; the greatest
    /// value for longer than that.
    pub age_ms: u32,
}

/// All requests to evacuate a zone that the store held at a revision.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationListing {
    /// The revision.
    pub revision: StoreRevision,
    /// The requests.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    pub zones: Vec<EvacuatedZone>,
}

/// A question of one node to another.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeRequest {
    /// Everything newer than what the asking node has.
    #[brw(magic = 1u8)]
    Catalog {
        /// Version of its configuration, none where nothing is known.
        config_version: u64,
        /// Store revision up to which it knows the instances, none where nothing is known.
        instances_revision: StoreRevision,
        /// Store revision up to which it knows the system's own keys, zero for
        /// none.
        own_revision: StoreRevision,
        /// Store revision up to which it knows the requests to evacuate zones, zero
        /// for none.
        evacuations_revision: StoreRevision,
        /// One if the answering node is asked as a relay, which reads the
        /// store on behalf of others.
        as_relay: u8,
    },
    /// Whether the node reaches an instance.
    #[brw(magic = 2u8)]
    Reach {
        /// The instance.
        #[br(parse_with = text::read_text)]
        #[bw(write_with = text::write_text)]
        instance: String,
    },
    /// Who leads a group.
    #[brw(magic = 3u8)]
    Leader {
        /// The group.
        #[br(parse_with = text::read_text)]
        #[bw(write_with = text::write_text)]
        group: String,
    },
    /// A group's term is closed: hand the permit for it back.
    #[brw(magic = 4u8)]
    CloseTerm(TermClosing),
    /// What the asking node's callers need of a group's leader; nothing is asked.
    #[brw(magic = 5u8)]
    LeaderDemand(DemandReport),
}

/// What a node's callers needed of a group's leader lately.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemandReport {
    /// The group.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub group: String,
    /// The node.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub node: String,
    /// The demand by the regions that it allows.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    pub parts: Vec<DemandPart>,
}

/// Statements that allow the same regions.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemandPart {
    /// One if every region is allowed.
    pub is_any: u8,
    /// Else the regions.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    pub regions: Vec<RegionText>,
    /// What they are worth.
    pub worth: u64,
}

/// Name of a region.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionText {
    /// The name.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub name: String,
}

/// A closed term, as the store holds it.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TermClosing {
    /// The group.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub group: String,
    /// The term.
    pub term: u64,
    /// Its leader, empty where it is not known.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub leader: String,
    /// One if the answering node should tell the leader to step down, where it
    /// reaches it; else statements under way may end first.
    pub steps_down: u8,
    /// The record that closes the term.
    pub record: StoredDocument,
}

/// Whether a node reaches an instance.
#[binrw]
#[brw(big, repr = u8)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// It answered a moment ago.
    Reached = 1,
    /// It does not answer.
    Failing = 2,
    /// It was not asked lately.
    Unknown = 3,
}

/// The answer to a question.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeReply {
    /// Documents newer than what was asked for.
    #[brw(magic = 1u8)]
    Catalog {
        /// The configuration, if it is newer: at most one document.
        #[br(parse_with = text::read_list)]
        #[bw(write_with = text::write_list)]
        config: Vec<ConfigDocument>,
        /// The requests to evacuate zones, if newer ones are known: at most one
        /// listing.
        #[br(parse_with = text::read_list)]
        #[bw(write_with = text::write_list)]
        evacuations: Vec<EvacuationListing>,
        /// Instances that changed since.
        instances: DocumentList,
        /// Store revision up to which the answering node knows the instances.
        instances_revision: StoreRevision,
        /// The system's own keys that changed since.
        own: DocumentList,
        /// Store revision up to which the answering node knows its own keys.
        own_revision: StoreRevision,
        /// One if the answering node knows all instances.
        complete: u8,
        /// Time since the answering node heard the store, itself or through
        /// others, in milliseconds; the greatest value for never.
        store_age_ms: u32,
        /// Time since the answering node knew all of the system's own keys, in
        /// milliseconds; the greatest value for never.
        own_age_ms: u32,
    },
    /// Whether the instance is reached.
    #[brw(magic = 2u8)]
    Reach(Reach),
    /// The leader as the node has seen it prove its lead, at most one.
    #[brw(magic = 3u8)]
    Leader {
        /// The leader.
        #[br(parse_with = text::read_list)]
        #[bw(write_with = text::write_list)]
        leader: Vec<LeaderReport>,
    },
    /// The permit for a closed term is handed back.
    #[brw(magic = 4u8)]
    TermClosed {
        /// One if the old leader has told the answering node that it leads no
        /// longer.
        has_stepped_down: u8,
    },
    /// A report was taken in.
    #[brw(magic = 5u8)]
    Noted,
}

/// Writes a message with its version.
pub fn encode_exchange<T>(message: &T) -> Result<Vec<u8>, binrw::Error>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    let mut output = Cursor::new(vec![EXCHANGE_VERSION]);
    output.set_position(1);
    message.write_be(&mut output)?;
    Ok(output.into_inner())
}

/// Reads a message with its version.
pub fn decode_exchange<T>(bytes: &[u8]) -> Result<T, binrw::Error>
where
    T: for<'a> BinRead<Args<'a> = ()>,
{
    let Some((&EXCHANGE_VERSION, body)) = bytes.split_first() else {
        return Err(binrw::Error::AssertFail {
            pos: 0,
            message: "unknown protocol version".to_owned(),
        });
    };
    T::read_be(&mut Cursor::new(body))
}
