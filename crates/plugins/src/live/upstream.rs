//! Chooses an upstream and keeps count of what runs there.

use std::sync::Arc;

use wasabiswitch_kernel::tables::{Connection, UpstreamHandle};
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::ids::{BootId, FailureDomain, InstanceId, PoolId};
use wasabiswitch_policy::routing::{Candidate, choose};

/// A place for one request at an upstream; dropping it frees the place.
pub(super) struct Place {
    kernel: Arc<Kernel>,
    handle: UpstreamHandle,
    pub(super) instance: InstanceId,
    pub(super) boot: BootId,
    pub(super) address: std::net::SocketAddr,
    pub(super) failure_domain: FailureDomain,
    freed: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.freed {
            return;
        }
        let mut upstreams = self.kernel.tables.upstreams.lock();
        if let Some(upstream) = upstreams.table.get_mut(self.handle) {
            upstream.outstanding = upstream.outstanding.saturating_sub(1);
        }
    }
}

/// Takes a place at an upstream of the pool, with an idle connection if there is one, away from the failure domains in `avoid` if possible.
pub(super) fn take_place(
    kernel: &Arc<Kernel>,
    pool: &PoolId,
    avoid: &[FailureDomain],
) -> Option<(Place, Option<Connection>)> {
    let now = kernel.clock.now();
    let mut upstreams = kernel.tables.upstreams.lock();
    let upstreams = &mut *upstreams;
    let handles = upstreams.by_pool.get(pool)?;
    let describe = |index: usize| {
        let upstream = upstreams.table.get(handles[index]).expect("the index lists known rows");
        Candidate {
            failure_domain: &upstream.failure_domain,
            outstanding: upstream.outstanding,
            capacity: upstream.capacity,
            serving: upstream.accepts_work(),
            ejected: upstream.health.is_ejected(now),
            serving_since: upstream.serving_since,
        }
    };
    let index = choose(handles.len(), describe, avoid, now, |below| fastrand::usize(..below))?;
    let handle = handles[index];
    let upstream = upstreams.table.get_mut(handle)?;
    upstream.outstanding += 1;
    let place = Place {
        kernel: kernel.clone(),
        handle,
        instance: upstream.instance.clone(),
        boot: upstream.boot,
        address: upstream.address,
        failure_domain: upstream.failure_domain.clone(),
        freed: false,
    };
    Some((place, take_ready(&mut upstream.idle)))
}

fn take_ready(idle: &mut Vec<Connection>) -> Option<Connection> {
    while let Some(connection) = idle.pop() {
        if connection.is_ready() {
            return Some(connection);
        }
    }
    None
}

impl Place {
    /// Takes another idle connection to the upstream.
    pub(super) fn take_idle(&self) -> Option<Connection> {
        let mut upstreams = self.kernel.tables.upstreams.lock();
        take_ready(&mut upstreams.table.get_mut(self.handle)?.idle)
    }

    /// Ends a request that was answered whole, and keeps its connection for the next one, unless the
    /// upstream is leaving.
    pub(super) fn finish(mut self, connection: Connection) {
        self.freed = true;
        let now = self.kernel.clock.now();
        let mut upstreams = self.kernel.tables.upstreams.lock();
        let Some(upstream) = upstreams.table.get_mut(self.handle) else { return };
        upstream.outstanding = upstream.outstanding.saturating_sub(1);
        upstream.health.record(true, now);
        let same_boot = upstream.boot == self.boot && upstream.accepts_work();
        if same_boot && upstream.idle.len() < upstream.capacity as usize {
            upstream.idle.push(connection);
        }
    }

    /// Records a failure, and ejects the upstream if it fails much more than it should.
    pub(super) fn note_failure(&self) {
        let now = self.kernel.clock.now();
        let mut upstreams = self.kernel.tables.upstreams.lock();
        let upstreams = &mut *upstreams;
        let Some(upstream) = upstreams.table.get_mut(self.handle) else { return };
        upstream.health.record(false, now);
        if !upstream.health.is_failing() {
            return;
        }
        let pool = upstream.pool.clone();
        let handles = upstreams.by_pool.get(&pool).map_or(&[][..], Vec::as_slice);
        let is_out = |handle: &&UpstreamHandle| {
            upstreams.table.get(**handle).is_some_and(|other| other.health.is_ejected(now))
        };
        let ejected = handles.iter().filter(is_out).count();
        let size = handles.len();
        let Some(upstream) = upstreams.table.get_mut(self.handle) else { return };
        if upstream.health.eject_if_failing(now, ejected, size) {
            metrics::counter!(metric::UPSTREAMS_EJECTED).increment(1);
            log::warn!("ejected upstream {}", self.instance);
        }
    }

    /// Records that the upstream itself said that it leaves.
    pub(super) fn record_leaving(&self) {
        crate::pools::record_leaving(&self.kernel, &self.instance, self.boot, "upstream");
    }
}
