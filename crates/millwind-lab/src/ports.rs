//! Addresses on the loopback network for processes of a run.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU16, Ordering};

/// Every listener of the lab uses this port, each on an address of its own, so
/// that no outgoing connection's ephemeral port can be in its way.
const PORT: u16 = 7_000;
const TRIES: u16 = 1_000;

/// Second octet of this process's addresses.
static NETWORK: LazyLock<u8> = LazyLock::new(|| rand::random::<u8>().clamp(2, 250));
static NEXT_HOST: LazyLock<AtomicU16> = LazyLock::new(|| AtomicU16::new(rand::random()));

/// An address that nobody listens on.
pub fn free_address() -> std::io::Result<SocketAddr> {
    for _ in 0..TRIES {
        let [high, low] = NEXT_HOST.fetch_add(1, Ordering::Relaxed).to_be_bytes();
        let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, *NETWORK, high, low)), PORT);
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(std::io::ErrorKind::AddrInUse.into())
}
