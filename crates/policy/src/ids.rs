//! Type aliases for the ids that configuration, rows and messages use.
//!
//! Ids identify an object across processes and restarts; within one process, the kernel's tables
//! use typed slotmap keys as handles. Ids that are names are shared strings, because the request path
//! copies them for each request.

use std::sync::Arc;

/// Id of a team, which submits work and authenticates with keys.
pub type TeamId = Arc<str>;
/// Id of a key; it never contains the secret part.
pub type KeyId = Arc<str>;
/// Id of a service that callers address.
pub type ServiceId = Arc<str>;
/// Id of a pool of instances.
pub type PoolId = Arc<str>;
/// Id of an instance; an instance that serves requests is an upstream.
pub type InstanceId = Arc<str>;
/// Id of a failure domain, such as a rack.
pub type FailureDomain = Arc<str>;
/// Id of a data centre.
pub type DataCentre = Arc<str>;
/// Id of a daemon.
pub type DaemonId = Arc<str>;
/// Id of a job queue.
pub type QueueId = Arc<str>;
/// Id of a job.
pub type JobId = Arc<str>;
/// Id of a maintenance wave.
pub type WaveId = Arc<str>;
/// Id of one request, in responses and logs.
pub type RequestId = u64;
/// Number of a daemon's session, counted per daemon; a larger epoch fences all smaller ones.
pub type Epoch = u64;
/// Number of an accepted configuration; it only increases.
pub type Generation = u64;
/// Number of a boot of an instance; it increases with each reboot.
pub type BootId = u64;
/// Fencing token of an order to a worker, see [`order_fence`](crate::fleet::order_fence).
pub type OrderFence = u64;
