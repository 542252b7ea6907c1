//! The configuration in force, as plain data, and the checks that span several entries.
//!
//! The operators' folder is merged by [`crate::merge`]; the kernel reads the merged document into
//! these types and reports shape errors with their positions. The checks here are about meaning.
//! Every field is documented for operators in docs/operators/settings.md.

use std::collections::BTreeMap;
use std::time::Duration;

use wasabiswitch_derive::derives;

use crate::ids::{
    DataCentre, FailureDomain, InstanceId, KeyId, PoolId, QueueId, ServiceId, TeamId,
};

/// A whole configuration.
#[derives(record)]
#[derive(Default)]
pub struct Config {
    /// The services that callers may address.
    pub services: BTreeMap<ServiceId, Service>,
    /// The pools of instances.
    pub pools: BTreeMap<PoolId, Pool>,
    /// The instances and the pool that each starts in.
    pub instances: BTreeMap<InstanceId, Instance>,
    /// The teams with their shares and limits.
    pub teams: BTreeMap<TeamId, Team>,
    /// The queues of jobs.
    pub queues: BTreeMap<QueueId, Queue>,
    /// The keys of teams and of operators, as digests.
    pub keys: BTreeMap<KeyId, Key>,
}

/// A service and how its requests may be treated.
#[derives(record)]
pub struct Service {
    /// The pool whose instances serve it.
    pub pool: PoolId,
    /// The methods whose requests may be repeated after doubt.
    pub repeatable_methods: Vec<String>,
    /// Whether its requests are dispatched before deferrable ones.
    pub urgent: bool,
    /// The longest time a request may take, from entry to the last byte of the answer.
    pub deadline: Duration,
    /// The largest number of attempts at one request.
    pub attempts_max: u32,
    /// How long the answer to a request with an idempotency key is kept.
    pub keep_answers: Duration,
}

/// A pool of instances.
#[derives(record)]
pub struct Pool {
    /// How many of its instances may be unavailable at once, for any reason.
    pub unavailable_max: u32,
    /// Whether instances wait here for work elsewhere.
    pub spare: bool,
}

/// An instance as configured; the pool it is in now is its row's to say.
#[derives(record)]
pub struct Instance {
    /// The pool that it starts in.
    pub pool: PoolId,
    /// Its failure domain, such as its rack.
    pub failure_domain: FailureDomain,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it serves requests, as `IP:port`.
    pub address: String,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it accepts.
    pub connections_max: u32,
    /// Its processors, in thousandths of a core.
    pub cpu_milli: u64,
    /// Its memory, in bytes.
    pub memory_bytes: u64,
    /// Its accelerators.
    pub accelerators: u32,
}

/// A team's share and limit.
#[derives(record)]
pub struct Team {
    /// Its share of a full fleet, relative to the other teams' weights.
    pub weight: u32,
    /// The most that it may have running in the whole fleet.
    pub limit_slots: u32,
}

/// A queue of jobs.
#[derives(record)]
pub struct Queue {
    /// The pool whose instances run its jobs.
    pub pool: PoolId,
    /// The team that jobs without a key are counted for; `None` if a key is required.
    pub open_team: Option<TeamId>,
    /// The most jobs that may wait in it.
    pub jobs_max: u32,
}

/// Whom a key admits.
#[derives(record)]
pub enum Principal {
    /// A team, on the entry listener.
    Team(TeamId),
    /// An operator, on the control listener.
    Operator(String),
}

/// A key; the secret itself is never kept.
#[derives(record)]
pub struct Key {
    /// Whom the key admits.
    pub holder: Principal,
    /// The digest of the secret part, in lower-case hexadecimal.
    pub digest: String,
    /// Whether a command granted it, so that it stands in no file of the folder.
    pub granted: bool,
    /// Whether a command withdrew it; an entry stays behind, so that the folder does not revive it.
    pub withdrawn: bool,
}

impl Config {
    /// Returns a key that may be presented.
    pub fn active_key(&self, id: &str) -> Option<&Key> {
        self.keys.get(id).filter(|key| !key.withdrawn)
    }
}

/// An error in the meaning of a configuration.
#[derives(record)]
#[derive(Eq, PartialOrd, Ord)]
pub struct CheckError {
    /// The section, such as `instances`.
    pub section: &'static str,
    /// The name of the entry.
    pub name: String,
    /// The field at fault.
    pub field: &'static str,
    /// What is wrong with it.
    pub detail: String,
}

/// Returns every error in the meaning of `config`, sorted by section and name.
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

/// Returns the errors of replacing `before` by `after`, in addition to those of [`check`].
///
/// A pool that still holds instances in their rows may not be dropped; `pools_in_use` names them.
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

/// The length of a key's digest as text, in bytes.
pub const DIGEST_HEX_BYTES: usize = 64;
