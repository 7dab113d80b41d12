//! Connections to back-end instances, connection pools and admission of statements.

pub mod connection;
pub mod demand;
pub mod link_error;
pub mod pool;
pub mod pooled;
pub mod pools;
pub mod turns;
mod user;

pub use connection::Connection;
pub use link_error::ExchangeError;
pub use pool::{Pool, Purpose};
pub use pooled::PooledConnection;
pub use pools::Pools;
pub use turns::Urgency;
pub use user::ConnectionUser;
