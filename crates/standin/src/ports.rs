//! Free loopback ports for processes whose ports have to be configured before they start.

use std::net::TcpListener;
use std::ops::Range;
use std::sync::{Mutex, PoisonError};

/// First port that is returned. The range lies below the system's ephemeral ports: a load test opens thousands of
/// outgoing connections, and one of them could take a port between the check and its use.
const FIRST_PORT: u16 = 12_000;
/// Number of blocks into which the ports are divided.
const BLOCK_COUNT: u16 = 100;
/// Number of ports in a block, with the one that marks it as claimed.
const BLOCK_SIZE: u16 = 200;

/// Ports that this process has claimed.
static CLAIMED_PORTS: Mutex<ClaimedPorts> = Mutex::new(ClaimedPorts::new());

/// Blocks of loopback ports that one owner has claimed.
///
/// A port that is free at one moment may belong to a daemon of another test process that is being restarted. So ports are claimed
/// in blocks: the owner of a block listens on its first port until it ends.
struct ClaimedPorts {
    markers: Vec<TcpListener>,
    remaining: Range<u16>,
}

impl ClaimedPorts {
    /// Returns an owner without any block.
    const fn new() -> ClaimedPorts {
        ClaimedPorts { markers: Vec::new(), remaining: 0..0 }
    }

    /// Returns a loopback port that is free, and that no owner has returned before whose claims still stand.
    ///
    /// # Panics
    ///
    /// If no block is left.
    fn free_port(&mut self) -> u16 {
        loop {
            let port = match self.remaining.next() {
                Some(port) => port,
                None => self.claim_block(),
            };
            if TcpListener::bind(("127.0.0.1", port)).is_ok() {
                return port;
            }
        }
    }

    /// Claims a block, and returns its first port that is not the marker.
    fn claim_block(&mut self) -> u16 {
        // Concurrent processes start at different blocks.
        let start = std::process::id() % u32::from(BLOCK_COUNT);
        for number in 0..BLOCK_COUNT {
            let block = (start as u16 + number) % BLOCK_COUNT;
            let first = FIRST_PORT + block * BLOCK_SIZE;
            if let Ok(marker) = TcpListener::bind(("127.0.0.1", first)) {
                self.markers.push(marker);
                self.remaining = first + 2..first + BLOCK_SIZE;
                return first + 1;
            }
        }
        panic!("no block of loopback ports is left");
    }
}

/// Returns a loopback port that is free, and that neither this process nor a concurrent one has returned before.
///
/// # Panics
///
/// If no block of ports is left.
pub fn free_port() -> u16 {
    CLAIMED_PORTS.lock().unwrap_or_else(PoisonError::into_inner).free_port()
}
