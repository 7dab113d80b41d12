//! Forwarding of statements to the nodes that own connections.
//!
//! An instance accepts few connections. While there are few nodes each holds
//! its share of them. With many nodes, a few owners per instance hold them and
//! run the statements of all others. Owners are chosen by rendezvous hashing,
//! first among the nodes of the instance's own zone, so that a forwarded
//! statement crosses zones no more often than one that is sent directly. Views
//! of the set of nodes may differ for a while: every node runs what it is
//! asked, within a limit of its own, so nothing but a few connections depends
//! on agreement.

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

pub use doubt::LinkDoubt;
pub use lease::Lease;
pub use link::OwnerLink;
pub use owners::{Carriers, OWNERS, Owners, Route, Standing, Way};
pub use server::serve;

pub(crate) use messages::{leader_report, take_leader_report};

/// A link between two nodes.
type Transport = Framed<TcpStream, LengthDelimitedCodec>;

/// Writes all messages in one go; none if the link is lost.
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
