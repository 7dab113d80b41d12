//! Requests and replies between engine nodes: catalog synchronization, group leaders and
//! instance reachability.

use std::io::Cursor;

use binrw::{BinRead, BinWrite, binrw};
use thiserror::Error;

use crate::compressed::{Compressed, DecompressError};
use crate::forward::LeaderReport;
use crate::store_revision::StoreRevision;
use crate::text;

/// Version of the exchange protocol; the first byte of every message.
pub const EXCHANGE_VERSION: u8 = 11;

/// One document of the store, or its removal.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredDocument {
    /// Key of the document.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub key: String,
    /// Store revision of the document's last relevant change.
    pub revision: StoreRevision,
    /// 1 if the document was removed, and its value is empty; else 0.
    pub removed: u8,
    /// Content of the document.
    #[br(parse_with = text::read_bytes)]
    #[bw(write_with = text::write_bytes)]
    pub value: Vec<u8>,
}

/// A list of documents of one kind, partly compressed.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DocumentList {
    /// Compressed [`PackedDocuments`]; at most one element.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    packed: Vec<Compressed>,
    /// Documents that changed after the compressed part was made.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    plain: Vec<StoredDocument>,
}

/// The content of the compressed part of a [`DocumentList`].
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
    Compressed::compress(bytes.get_ref())
}

/// Why a [`DocumentList`] cannot be decoded.
#[derive(Debug, Error)]
pub enum DocumentListError {
    /// The compressed part is corrupt.
    #[error("compressed documents: {0}")]
    Compressed(#[from] DecompressError),
    /// The decompressed part is malformed.
    #[error("malformed documents: {0}")]
    Malformed(#[from] binrw::Error),
}

impl DocumentList {
    /// Creates a list of the documents in `packed`, followed by `plain`.
    pub fn new(packed: Option<Compressed>, plain: Vec<StoredDocument>) -> Self {
        DocumentList {
            packed: packed.into_iter().collect(),
            plain,
        }
    }

    /// Appends uncompressed documents.
    pub fn append_plain(mut self, plain: Vec<StoredDocument>) -> Self {
        self.plain.extend(plain);
        self
    }

    /// Returns the documents in order. A later document replaces an earlier one with the
    /// same key. Fails if the compressed part is corrupt.
    pub fn into_documents(self) -> Result<Vec<StoredDocument>, DocumentListError> {
        let mut documents = Vec::new();
        for part in &self.packed {
            let bytes = part.decompress()?;
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
    /// Version number of the configuration.
    pub version: u64,
    /// Time since a node first read this version from the store, in milliseconds;
    /// `u32::MAX` for any longer time.
    pub age_ms: u32,
    /// The compressed configuration document.
    pub document: Compressed,
}

/// A request to evacuate a zone.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuatedZone {
    /// Name of the zone.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub zone: String,
    /// Longest possible time since the request was made, in milliseconds; `u32::MAX` for
    /// any longer time.
    pub age_ms: u32,
}

/// All zone evacuation requests in the store at a revision.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationListing {
    /// Store revision of the listing.
    pub revision: StoreRevision,
    /// The evacuation requests.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    pub zones: Vec<EvacuatedZone>,
}

/// A request from one node to another.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeRequest {
    /// Requests all catalog changes that the requesting node does not have.
    #[brw(magic = 1u8)]
    Catalog {
        /// Version of the requesting node's configuration; zero for none.
        config_version: u64,
        /// Store revision up to which the node knows the instances;
        /// [`StoreRevision::NONE`] for none.
        instances_revision: StoreRevision,
        /// Store revision up to which the node knows the proxy's own keys;
        /// [`StoreRevision::NONE`] for none.
        own_revision: StoreRevision,
        /// Store revision up to which the node knows the zone evacuation requests;
        /// [`StoreRevision::NONE`] for none.
        evacuations_revision: StoreRevision,
        /// 1 if the receiver is asked as a relay, which reads the store on behalf of other
        /// nodes; else 0.
        as_relay: u8,
        /// 1 if the receiver is asked as the monitor, which checks the configuration on behalf
        /// of other nodes; else 0.
        as_monitor: u8,
    },
    /// Asks whether the receiver can reach an instance.
    #[brw(magic = 2u8)]
    Reach {
        /// Name of the instance.
        #[br(parse_with = text::read_text)]
        #[bw(write_with = text::write_text)]
        instance: String,
    },
    /// Asks for the leader of a group.
    #[brw(magic = 3u8)]
    Leader {
        /// Name of the group.
        #[br(parse_with = text::read_text)]
        #[bw(write_with = text::write_text)]
        group: String,
    },
    /// Reports that a group's term is closed, and asks the receiver to release its permit
    /// for the term.
    #[brw(magic = 4u8)]
    CloseTerm(TermClosing),
    /// Reports the sender's recent demand for a group's leader.
    #[brw(magic = 5u8)]
    LeaderDemand(DemandReport),
}

/// The recent demand of one node's clients for the leader of a group.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemandReport {
    /// Name of the group.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub group: String,
    /// Name of the reporting node.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub node: String,
    /// Demand by set of allowed regions.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    pub parts: Vec<DemandPart>,
}

/// The demand of statements that allow the same regions.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemandPart {
    /// 1 if every region is allowed, else 0.
    pub allows_any_region: u8,
    /// Allowed regions, if not every region is allowed.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    pub regions: Vec<RegionEntry>,
    /// Total weight of the statements.
    pub total_weight: u64,
}

/// A region name, as an element of a list.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionEntry {
    /// Name of the region.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub name: String,
}

/// A term of a group that was closed in the store.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TermClosing {
    /// Name of the group.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub group: String,
    /// The closed term.
    pub term: u64,
    /// Leader of the term; empty if unknown.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub leader: String,
    /// 1 if the receiver should tell the leader to step down when it can reach it; 0 if
    /// running statements may finish first.
    pub steps_down: u8,
    /// The store document that closes the term.
    pub record: StoredDocument,
}

/// Whether a node can reach an instance.
#[binrw]
#[brw(big, repr = u8)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// The instance answered recently.
    Reached = 1,
    /// The instance does not answer.
    Failing = 2,
    /// The instance was not contacted recently.
    Unknown = 3,
}

/// The reply to an [`ExchangeRequest`].
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeReply {
    /// Catalog changes that the requesting node does not have.
    #[brw(magic = 1u8)]
    Catalog {
        /// The configuration if it is newer; at most one element.
        #[br(parse_with = text::read_list)]
        #[bw(write_with = text::write_list)]
        config: Vec<ConfigDocument>,
        /// The zone evacuation requests if a newer listing is known; at most one element.
        #[br(parse_with = text::read_list)]
        #[bw(write_with = text::write_list)]
        evacuations: Vec<EvacuationListing>,
        /// Instances that changed since the requested revision.
        instances: DocumentList,
        /// Store revision up to which the replying node knows the instances.
        instances_revision: StoreRevision,
        /// The proxy's own keys that changed since the requested revision.
        own: DocumentList,
        /// Store revision up to which the replying node knows the proxy's own keys.
        own_revision: StoreRevision,
        /// 1 if the replying node knows all instances, else 0.
        complete: u8,
        /// Time since the replying node's instances last matched the store, as it knows
        /// directly or through other nodes, in milliseconds; `u32::MAX` for never.
        instances_age_ms: u32,
        /// The same for its configuration and zone evacuation requests.
        config_age_ms: u32,
        /// Time since the replying node last knew all of the proxy's own keys, in
        /// milliseconds; `u32::MAX` for never.
        own_age_ms: u32,
    },
    /// Reply to `Reach`.
    #[brw(magic = 2u8)]
    Reach(Reach),
    /// Reply to `Leader`.
    #[brw(magic = 3u8)]
    Leader {
        /// The last leader that proved its leadership to the replying node; at most one
        /// element.
        #[br(parse_with = text::read_list)]
        #[bw(write_with = text::write_list)]
        leader: Vec<LeaderReport>,
    },
    /// Confirms that the permit for a closed term is released.
    #[brw(magic = 4u8)]
    TermClosed {
        /// 1 if the previous leader confirmed to the replying node that it stepped down,
        /// else 0.
        has_stepped_down: u8,
    },
    /// Confirms that a demand report was received.
    #[brw(magic = 5u8)]
    DemandReceived,
}

/// Encodes a message with its version byte.
pub fn encode_exchange<T>(message: &T) -> Result<Vec<u8>, binrw::Error>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    let mut output = Cursor::new(vec![EXCHANGE_VERSION]);
    output.set_position(1);
    message.write_be(&mut output)?;
    Ok(output.into_inner())
}

/// Decodes a message. Fails if the version differs or the content is malformed.
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
