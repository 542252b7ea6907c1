//! Share of a listener's budget that one connection holds for its bodies.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

use super::{ClientConnection, UNIT_BYTES};

/// Time after which a body that waits for room is refused; callers wait 3 s for an answer.
const ROOM_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a body that waits for room looks for others that have stalled.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Share of the budget that a connection holds, which is returned on drop.
#[derive(Debug)]
pub(in crate::http) struct Charge {
    connection: Arc<ClientConnection>,
    permit: Option<OwnedSemaphorePermit>,
    bytes: u64,
}

impl Charge {
    pub(in crate::http) fn new(connection: Arc<ClientConnection>) -> Charge {
        Charge { connection, permit: None, bytes: 0 }
    }

    /// Takes room from the budget for `bytes` more, a multiple of [`UNIT_BYTES`]; returns whether there was room.
    ///
    /// Without room, the body waits, or another one is refused.
    pub(in crate::http) async fn add(&mut self, bytes: usize) -> bool {
        let Ok(units) = u32::try_from(bytes as u64 / UNIT_BYTES) else { return false };
        let room = &self.connection.intake.room;
        let permit = match room.clone().try_acquire_many_owned(units) {
            Ok(permit) => permit,
            Err(_) => match self.wait_for_room(units).await {
                Some(permit) => permit,
                None => return false,
            },
        };
        let added = u64::from(units) * UNIT_BYTES;
        match &mut self.permit {
            Some(held) => held.merge(permit),
            held => *held = Some(permit),
        }
        self.bytes += added;
        self.connection.held_bytes.fetch_add(added, Ordering::Relaxed);
        self.connection.intake.bytes_gauge.increment(added as f64);
        true
    }

    async fn wait_for_room(&self, units: u32) -> Option<OwnedSemaphorePermit> {
        let (connection, intake) = (&self.connection, &self.connection.intake);
        let end = Instant::now() + ROOM_TIMEOUT;
        connection.set_waiting(true);
        let mut permit = std::pin::pin!(intake.room.clone().acquire_many_owned(units));
        let mut is_first = true;
        let acquired = loop {
            if (is_first || intake.may_check_again()) && intake.make_room(connection, units) {
                break None;
            }
            is_first = false;
            let check = Instant::now() + ROOM_CHECK_INTERVAL;
            match tokio::time::timeout_at(check, permit.as_mut()).await {
                Ok(permit) => break permit.ok(),
                Err(_) if check >= end => break None,
                Err(_) => {}
            }
        };
        connection.set_waiting(false);
        acquired
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.connection.held_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        self.connection.intake.bytes_gauge.decrement(self.bytes as f64);
    }
}
