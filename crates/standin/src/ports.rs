//! Free loopback ports for processes whose ports have to be configured before they start.

use std::net::TcpListener;
use std::sync::atomic::{AtomicU16, Ordering};

/// First port that is returned. The range lies below the system's ephemeral ports: a load test opens thousands of
/// outgoing connections, and one of them could take a port between the check and its use.
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u16 = 20_000;

/// Number of ports that this process has tried so far.
static PORTS_TRIED: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback port that is free and that this process has not returned before.
///
/// # Panics
///
/// If no port is free.
pub fn free_port() -> u16 {
    // Concurrent processes start at different ports.
    let start = (std::process::id() * 37 % u32::from(PORT_COUNT)) as u16;
    for _ in 0..PORT_COUNT {
        let number = PORTS_TRIED.fetch_add(1, Ordering::Relaxed);
        let port =
            FIRST_PORT + ((u32::from(start) + u32::from(number)) % u32::from(PORT_COUNT)) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
    panic!("no loopback port is free");
}
