//! Names of things that outlive a process, as aliases.
//!
//! Inside one process the typed slotmap keys of the kernel's tables are the handles; these ids are
//! what configuration, rows and messages use. They are shared strings because the request path
//! copies them for each request.

use std::sync::Arc;

/// Names a team, which submits work and presents keys.
pub type TeamId = Arc<str>;
/// Names a key; the secret part of the key is never part of it.
pub type KeyId = Arc<str>;
/// Names a service that callers address.
pub type ServiceId = Arc<str>;
/// Names a pool of instances.
pub type PoolId = Arc<str>;
/// Names an instance; an instance that serves requests is an upstream.
pub type InstanceId = Arc<str>;
/// Names a failure domain, such as a rack.
pub type FailureDomain = Arc<str>;
/// Names a data centre.
pub type DataCentre = Arc<str>;
/// Names a daemon of the system.
pub type DaemonId = Arc<str>;
/// Names a queue of jobs.
pub type QueueId = Arc<str>;
/// Names a job.
pub type JobId = Arc<str>;
/// Names a maintenance wave.
pub type WaveId = Arc<str>;
/// Names one request, in answers and in logs.
pub type RequestId = u64;
/// Counts the sessions of one daemon; a larger epoch fences a smaller one.
pub type Epoch = u64;
/// Counts the accepted configurations; it only grows.
pub type Generation = u64;
/// Tells one boot of an instance from the next.
pub type BootId = u64;
