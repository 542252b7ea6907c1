//! Selection of upstreams, and the count of outstanding requests at each.

use std::sync::Arc;

use wasabiswitch_kernel::tables::{Connection, UpstreamHandle};
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::ids::{BootId, FailureDomain, InstanceId, PoolId};
use wasabiswitch_policy::routing::{Candidate, choose};

/// Capacity reserved for one request at an upstream; dropping it releases the capacity.
pub(super) struct Reservation {
    kernel: Arc<Kernel>,
    handle: UpstreamHandle,
    pub(super) instance: InstanceId,
    pub(super) boot: BootId,
    pub(super) address: std::net::SocketAddr,
    pub(super) failure_domain: FailureDomain,
    released: bool,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.released {
            return;
        }
        let mut upstreams = self.kernel.tables.upstreams.lock();
        if let Some(upstream) = upstreams.table.get_mut(self.handle) {
            upstream.outstanding = upstream.outstanding.saturating_sub(1);
        }
    }
}

/// Reserves capacity at an upstream of the pool, and takes an idle connection to it if there is
/// one.
///
/// Upstreams outside the failure domains in `avoid_domains` are preferred. Returns `None` if no
/// upstream accepts work and has capacity.
pub(super) fn reserve_upstream(
    kernel: &Arc<Kernel>,
    pool: &PoolId,
    avoid_domains: &[FailureDomain],
) -> Option<(Reservation, Option<Connection>)> {
    let now = kernel.clock.now();
    let mut upstreams = kernel.tables.upstreams.lock();
    let upstreams = &mut *upstreams;
    let handles = upstreams.by_pool.get(pool)?;
    let candidate = |index: usize| {
        let upstream =
            upstreams.table.get(handles[index]).expect("the pool index lists only known upstreams");
        Candidate {
            failure_domain: &upstream.failure_domain,
            outstanding: upstream.outstanding,
            capacity: upstream.capacity,
            serving: upstream.accepts_work(),
            ejected: upstream.health.is_ejected(now),
            serving_since: upstream.serving_since,
        }
    };
    let index =
        choose(handles.len(), candidate, avoid_domains, now, |below| fastrand::usize(..below))?;
    let handle = handles[index];
    let upstream = upstreams.table.get_mut(handle)?;
    upstream.outstanding += 1;
    let reservation = Reservation {
        kernel: kernel.clone(),
        handle,
        instance: upstream.instance.clone(),
        boot: upstream.boot,
        address: upstream.address,
        failure_domain: upstream.failure_domain.clone(),
        released: false,
    };
    Some((reservation, pop_ready_connection(&mut upstream.idle)))
}

fn pop_ready_connection(idle: &mut Vec<Connection>) -> Option<Connection> {
    while let Some(connection) = idle.pop() {
        if connection.is_ready() {
            return Some(connection);
        }
    }
    None
}

impl Reservation {
    /// Takes another idle connection to the upstream.
    pub(super) fn take_idle_connection(&self) -> Option<Connection> {
        let mut upstreams = self.kernel.tables.upstreams.lock();
        pop_ready_connection(&mut upstreams.table.get_mut(self.handle)?.idle)
    }

    /// Ends a request that was answered completely, and keeps its connection for reuse unless the
    /// upstream has restarted or no longer accepts work.
    pub(super) fn complete(mut self, connection: Connection) {
        self.released = true;
        let now = self.kernel.clock.now();
        let mut upstreams = self.kernel.tables.upstreams.lock();
        let Some(upstream) = upstreams.table.get_mut(self.handle) else { return };
        upstream.outstanding = upstream.outstanding.saturating_sub(1);
        upstream.health.record(true, now);
        let reusable = upstream.boot == self.boot && upstream.accepts_work();
        if reusable && upstream.idle.len() < upstream.capacity as usize {
            upstream.idle.push(connection);
        }
    }

    /// Records a failed attempt, and ejects the upstream if its failure rate is too high and the
    /// pool can spare it.
    pub(super) fn record_failure(&self) {
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
        let is_ejected = |handle: &&UpstreamHandle| {
            upstreams.table.get(**handle).is_some_and(|other| other.health.is_ejected(now))
        };
        let ejected = handles.iter().filter(is_ejected).count();
        let pool_size = handles.len();
        let Some(upstream) = upstreams.table.get_mut(self.handle) else { return };
        if upstream.health.eject_if_failing(now, ejected, pool_size) {
            metrics::counter!(metric::UPSTREAMS_EJECTED).increment(1);
            log::warn!("ejected upstream {}", self.instance);
        }
    }

    /// Records that the upstream announced its shutdown.
    pub(super) fn record_leaving(&self) {
        crate::pools::record_leaving(&self.kernel, &self.instance, self.boot, "upstream");
    }
}
