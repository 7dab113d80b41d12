//! Forwards statements to the nodes that own connections to an instance.
//!
//! An instance accepts a limited number of connections. In a small cluster every
//! node holds a share of them. In a large cluster a few owners per instance hold
//! the connections and run the statements of the other nodes. Owners are chosen
//! by rendezvous hashing and preferably in the instance's zone, so that a
//! forwarded statement crosses zones no more often than a direct one. Nodes may
//! temporarily disagree on the membership: every node runs the statements that
//! are forwarded to it, within its own connection limit, so a disagreement only
//! affects the number of connections.

use binrw::BinWrite;
use bytes::Bytes;
use futures::SinkExt;
use millwind_wire::forward::encode_forward;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

mod doubt;
mod lease;
mod link;
mod link_task;
mod links;
mod messages;
mod owners;
mod server;

pub use doubt::LinkSuspicion;
pub use lease::Lease;
pub use link::OwnerLink;
pub use owners::{ForwardingPolicy, OWNER_COUNT, OwnerRouter, OwnershipRole, Route, RouteRequest};
pub use server::serve;

pub(crate) use messages::{leader_report, record_leader_report};

/// A framed connection between two nodes.
type Transport = Framed<TcpStream, LengthDelimitedCodec>;

/// Writes and flushes all messages of the batch. Returns `None` if the link is lost.
async fn write_all<T>(transport: &mut Transport, batch: &mut Vec<T>) -> Option<()>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    for message in batch.drain(..) {
        let bytes = encode_forward(&message).ok()?;
        transport.feed(Bytes::from(bytes)).await.ok()?;
    }
    SinkExt::<Bytes>::flush(transport).await.ok()
}
