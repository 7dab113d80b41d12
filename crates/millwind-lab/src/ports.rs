//! Loopback addresses for the processes of a deployment.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU16, Ordering};

/// All listeners use this port on different loopback addresses, because a port
/// below the ephemeral range cannot be taken by an outgoing connection.
const PORT: u16 = 7_000;
const MAX_ATTEMPTS: u16 = 1_000;

/// Second octet of the addresses, random per process to avoid collisions.
static NETWORK: LazyLock<u8> = LazyLock::new(|| rand::random::<u8>().clamp(2, 250));
static NEXT_HOST: LazyLock<AtomicU16> = LazyLock::new(|| AtomicU16::new(rand::random()));

/// Returns an address without a listener; fails if all tried addresses are in use.
pub fn free_address() -> std::io::Result<SocketAddr> {
    for _ in 0..MAX_ATTEMPTS {
        let [high, low] = NEXT_HOST.fetch_add(1, Ordering::Relaxed).to_be_bytes();
        let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, *NETWORK, high, low)), PORT);
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(std::io::ErrorKind::AddrInUse.into())
}
