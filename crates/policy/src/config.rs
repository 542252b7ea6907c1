//! Active configuration as plain data, and its semantic validation.
//!
//! [`crate::merge`] merges the files of the operators' folder. The kernel parses the merged
//! document into these types and reports syntax and type errors with their positions; this module
//! checks what the values mean, also across entries. Every field is documented for operators in
//! docs/operators/settings.md.

use std::collections::BTreeMap;
use std::time::Duration;

use wasabiswitch_derive::derives;

use crate::ids::{
    DataCentre, FailureDomain, InstanceId, KeyId, PoolId, QueueId, ServiceId, TeamId,
};

/// Complete configuration of a fleet.
#[derives(record)]
#[derive(Default)]
pub struct Config {
    /// Services that callers may address.
    pub services: BTreeMap<ServiceId, Service>,
    /// Pools of instances.
    pub pools: BTreeMap<PoolId, Pool>,
    /// Instances, each with its initial pool.
    pub instances: BTreeMap<InstanceId, Instance>,
    /// Teams with their shares and limits.
    pub teams: BTreeMap<TeamId, Team>,
    /// Job queues.
    pub queues: BTreeMap<QueueId, Queue>,
    /// Keys of teams and operators, as digests.
    pub keys: BTreeMap<KeyId, Key>,
}

/// Service, with the rules for handling its requests.
#[derives(record)]
pub struct Service {
    /// Pool whose instances serve the requests.
    pub pool: PoolId,
    /// Methods whose requests may be sent again when the outcome of an attempt is in doubt.
    pub repeatable_methods: Vec<String>,
    /// Whether requests are dispatched before those of services that are not urgent.
    pub urgent: bool,
    /// Time limit of a request, from its arrival to the last byte of the response.
    pub deadline: Duration,
    /// Maximum number of attempts at one request.
    pub attempts_max: u32,
    /// Time for which the response to a request with an idempotency key is stored.
    pub keep_answers: Duration,
}

/// Pool of instances.
#[derives(record)]
pub struct Pool {
    /// Availability budget: maximum number of instances unavailable at once, for any reason.
    pub unavailable_max: u32,
    /// Whether the pool is the reserve from which instances move to pools that are below their targets.
    pub spare: bool,
}

/// Configured instance; its stored row, not this entry, names its current pool.
#[derives(record)]
pub struct Instance {
    /// Initial pool.
    pub pool: PoolId,
    /// Failure domain, such as a rack.
    pub failure_domain: FailureDomain,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Address on which the instance serves requests, as `IP:port`.
    pub address: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of connections that the instance accepts.
    pub connections_max: u32,
    /// Processor capacity, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}

/// Share and limit of a team.
#[derives(record)]
pub struct Team {
    /// Weight relative to the other teams, which sets the share when demand exceeds capacity.
    pub weight: u32,
    /// Maximum number of slots that the team may use across the fleet.
    pub limit_slots: u32,
}

/// Queue of jobs.
#[derives(record)]
pub struct Queue {
    /// Pool whose instances run the jobs.
    pub pool: PoolId,
    /// Team charged for jobs submitted without a key; `None` if a key is required.
    pub open_team: Option<TeamId>,
    /// Maximum number of waiting jobs.
    pub jobs_max: u32,
}

/// Identity that a key authenticates.
#[derives(record)]
pub enum Principal {
    /// Team, on the entry listener.
    Team(TeamId),
    /// Operator, on the control listener.
    Operator(String),
}

/// Access key, of which only a digest of the secret is stored.
#[derives(record)]
pub struct Key {
    /// Identity that the key authenticates.
    pub holder: Principal,
    /// Digest of the secret part, in lower-case hexadecimal.
    pub digest: String,
    /// Whether the key was granted by a command and so appears in no file of the folder.
    pub granted: bool,
    /// Whether a command revoked the key; the entry is kept as a tombstone, since a file of the
    /// folder would otherwise restore the key.
    pub withdrawn: bool,
}

impl Config {
    /// Returns the key `id` unless it is unknown or revoked.
    pub fn active_key(&self, id: &str) -> Option<&Key> {
        self.keys.get(id).filter(|key| !key.withdrawn)
    }
}

/// Semantic error in a configuration.
#[derives(record)]
#[derive(Eq, PartialOrd, Ord)]
pub struct CheckError {
    /// Section, such as `instances`.
    pub section: &'static str,
    /// Name of the entry.
    pub name: String,
    /// Invalid field.
    pub field: &'static str,
    /// Description of the error.
    pub detail: String,
}

/// Returns all semantic errors of `config`, sorted by section and name.
pub fn check(config: &Config) -> Vec<CheckError> {
    let mut errors = Vec::new();
    check_services(config, &mut errors);
    check_pools(config, &mut errors);
    check_instances(config, &mut errors);
    check_teams(config, &mut errors);
    check_queues(config, &mut errors);
    check_keys(config, &mut errors);
    errors.sort();
    errors
}

/// Returns the errors of a change to `after` that [`check`] cannot find in `after` alone.
///
/// `pools_in_use` lists the pools that the rows of instances name; none of them may be removed.
pub fn check_change(pools_in_use: &[PoolId], after: &Config) -> Vec<CheckError> {
    pools_in_use
        .iter()
        .filter(|pool| !after.pools.contains_key(*pool))
        .map(|pool| error("pools", pool, "name", "the pool still holds instances".to_owned()))
        .collect()
}

fn error(section: &'static str, name: &str, field: &'static str, detail: String) -> CheckError {
    CheckError { section, name: name.to_owned(), field, detail }
}

fn unknown_pool(config: &Config, pool: &PoolId) -> Option<String> {
    (!config.pools.contains_key(pool)).then(|| format!("there is no pool named {pool:?}"))
}

fn check_services(config: &Config, errors: &mut Vec<CheckError>) {
    for (name, service) in &config.services {
        if let Some(detail) = unknown_pool(config, &service.pool) {
            errors.push(error("services", name, "pool", detail));
        }
        if service.deadline.is_zero() {
            let detail = "the deadline must be longer than zero".to_owned();
            errors.push(error("services", name, "deadline_ms", detail));
        }
        if service.attempts_max == 0 {
            let detail = "a request needs at least one attempt".to_owned();
            errors.push(error("services", name, "attempts_max", detail));
        }
        if service.keep_answers < service.deadline {
            let detail = "answers must be kept for at least the deadline".to_owned();
            errors.push(error("services", name, "keep_answers_s", detail));
        }
    }
}

fn check_pools(config: &Config, errors: &mut Vec<CheckError>) {
    for (name, pool) in &config.pools {
        let size = config.instances.values().filter(|instance| instance.pool == *name).count();
        let budget = pool.unavailable_max as usize;
        if !pool.spare && size > 0 && budget >= size {
            let detail =
                format!("the budget of {budget} leaves none of {size} instances available");
            errors.push(error("pools", name, "unavailable_max", detail));
        }
    }
    let spare = config.pools.iter().filter(|(_, pool)| pool.spare).skip(1);
    for (name, _) in spare {
        let detail = "only one pool can be the spare pool".to_owned();
        errors.push(error("pools", name, "spare", detail));
    }
}

fn check_instances(config: &Config, errors: &mut Vec<CheckError>) {
    let mut addresses: BTreeMap<&str, &InstanceId> = BTreeMap::new();
    for (name, instance) in &config.instances {
        if let Some(detail) = unknown_pool(config, &instance.pool) {
            errors.push(error("instances", name, "pool", detail));
        }
        if instance.address.parse::<std::net::SocketAddr>().is_err() {
            let detail = format!("{:?} is not an IP address with a port", instance.address);
            errors.push(error("instances", name, "address", detail));
        }
        if instance.slots == 0 {
            let detail = "an instance needs at least one slot".to_owned();
            errors.push(error("instances", name, "slots", detail));
        }
        if instance.connections_max == 0 {
            let detail = "an instance needs at least one connection".to_owned();
            errors.push(error("instances", name, "connections_max", detail));
        }
        if let Some(other) = addresses.insert(&instance.address, name) {
            let detail = format!("instance {other:?} has the same address");
            errors.push(error("instances", name, "address", detail));
        }
    }
}

fn check_teams(config: &Config, errors: &mut Vec<CheckError>) {
    for (name, team) in &config.teams {
        if team.weight == 0 {
            let detail = "a team without weight would starve".to_owned();
            errors.push(error("teams", name, "weight", detail));
        }
    }
}

fn check_queues(config: &Config, errors: &mut Vec<CheckError>) {
    for (name, queue) in &config.queues {
        if let Some(detail) = unknown_pool(config, &queue.pool) {
            errors.push(error("queues", name, "pool", detail));
        }
        if let Some(team) = &queue.open_team
            && !config.teams.contains_key(team)
        {
            let detail = format!("there is no team named {team:?}");
            errors.push(error("queues", name, "open_team", detail));
        }
    }
}

fn check_keys(config: &Config, errors: &mut Vec<CheckError>) {
    for (name, key) in &config.keys {
        if let Principal::Team(team) = &key.holder
            && !config.teams.contains_key(team)
        {
            let detail = format!("there is no team named {team:?}");
            errors.push(error("keys", name, "team", detail));
        }
        let hexadecimal = key.digest.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        if key.digest.len() != DIGEST_HEX_BYTES || !hexadecimal {
            let detail = format!("a digest is {DIGEST_HEX_BYTES} lower-case hexadecimal digits");
            errors.push(error("keys", name, "digest", detail));
        }
    }
}

/// Length of a key's digest in hexadecimal, in bytes.
pub const DIGEST_HEX_BYTES: usize = 64;
