//! Free ports on the loopback interface.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// An address whose port was free a moment ago.
pub fn free_address() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    listener.local_addr()
}
