//! Warnings about a configuration folder: entries that have no effect, and limits that contradict each other.
//!
//! [`crate::config::check`] finds what a daemon refuses. The rules here find what a daemon accepts although it
//! cannot be meant; docs/design/config-check.md says which rules were weighed.

use std::collections::{BTreeMap, BTreeSet};

use wasabiswitch_derive::derives;

use crate::config::{Config, Principal};
use crate::ids::{FailureDomain, InstanceId, PoolId, TeamId};
use crate::instance::{DenialReason, PoolRow, PoolView, plan_outage};

/// Effect of a finding.
#[derives(value)]
pub enum Severity {
    /// Daemons refuse the configuration, or skip the entry.
    Error,
    /// Daemons accept the entry, but it has no effect or contradicts another.
    Warning,
}

impl Severity {
    /// Returns the word that is printed for the severity.
    pub fn as_str(self) -> &'static str {
        match self {
            Severity::Error => "error",
            Severity::Warning => "warning",
        }
    }
}

/// Warning about one field of an entry.
#[derives(record)]
#[derive(Eq, PartialOrd, Ord)]
pub struct Warning {
    /// Section, such as `pools`.
    pub section: &'static str,
    /// Name of the entry.
    pub name: String,
    /// Field that is the reason, or an empty string for the entry as a whole.
    pub field: &'static str,
    /// Description of the reason.
    pub detail: String,
}

/// Methods in common use; methods are compared with case, so that another spelling never matches.
const COMMON_METHODS: [&str; 8] =
    ["GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH", "TRACE"];

/// Returns all warnings about `config`, sorted by section and name.
pub fn warnings(config: &Config) -> Vec<Warning> {
    let mut warnings = Vec::new();
    warn_of_services(config, &mut warnings);
    warn_of_pools(config, &mut warnings);
    warn_of_instances(config, &mut warnings);
    warn_of_teams(config, &mut warnings);
    warn_of_queues(config, &mut warnings);
    warnings.sort();
    warnings
}

fn warning(section: &'static str, name: &str, field: &'static str, detail: String) -> Warning {
    Warning { section, name: name.to_owned(), field, detail }
}

fn is_spare(config: &Config, pool: &PoolId) -> bool {
    config.pools.get(pool).is_some_and(|pool| pool.spare)
}

/// Returns the warning about work that is assigned to the spare pool.
fn work_in_spare_pool(section: &'static str, name: &str, pool: &PoolId) -> Warning {
    let detail = format!("{pool:?} is the spare pool, whose instances leave it for other pools");
    warning(section, name, "pool", detail)
}

fn warn_of_services(config: &Config, warnings: &mut Vec<Warning>) {
    for (name, service) in &config.services {
        if name.contains('/') {
            let detail = "a request names its service by one segment of the path, so a name with \
                          '/' never matches"
                .to_owned();
            warnings.push(warning("services", name, "", detail));
        }
        if is_spare(config, &service.pool) {
            warnings.push(work_in_spare_pool("services", name, &service.pool));
        }
        if service.attempts_max == 1 && !service.repeatable_methods.is_empty() {
            let detail = "attempts_max is 1, so no request is sent again".to_owned();
            warnings.push(warning("services", name, "repeatable_methods", detail));
        }
        for method in &service.repeatable_methods {
            let common = COMMON_METHODS.iter().find(|common| method.eq_ignore_ascii_case(common));
            if let Some(common) = common.filter(|common| **common != method) {
                let detail = format!("{method:?} never matches; the method is {common:?}");
                warnings.push(warning("services", name, "repeatable_methods", detail));
            } else if method.is_empty() || !method.bytes().all(is_token_byte) {
                let detail = format!("{method:?} never matches, since it is not a valid method");
                warnings.push(warning("services", name, "repeatable_methods", detail));
            }
        }
    }
}

/// Returns whether a byte may be part of a method (`tchar` of RFC 9110, section 5.6.2).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn warn_of_pools(config: &Config, warnings: &mut Vec<Warning>) {
    let services = config.services.values().map(|service| &service.pool);
    let used: BTreeSet<&PoolId> =
        services.chain(config.queues.values().map(|queue| &queue.pool)).collect();
    let mut domains: BTreeMap<&PoolId, BTreeMap<InstanceId, FailureDomain>> = BTreeMap::new();
    for (id, instance) in &config.instances {
        let members = domains.entry(&instance.pool).or_default();
        members.insert(id.clone(), instance.failure_domain.clone());
    }
    for (name, pool) in &config.pools {
        // An empty spare pool is not reported: it takes the instances that the other pools do not need.
        if !pool.spare && !domains.contains_key(name) {
            let detail = "no instance starts in the pool".to_owned();
            warnings.push(warning("pools", name, "", detail));
        }
        if !pool.spare && !used.contains(name) {
            let detail = "no service and no queue uses the pool".to_owned();
            warnings.push(warning("pools", name, "", detail));
        }
        let view = PoolView {
            unavailable_max: pool.unavailable_max,
            domains: domains.remove(name).unwrap_or_default(),
        };
        if let Some(detail) = denied_outages(&view) {
            warnings.push(warning("pools", name, "unavailable_max", detail));
        }
    }
}

/// Returns a description of the instances whose outage is denied even while all others are available; a wave
/// waits for them without end, and they cannot be drained.
fn denied_outages(view: &PoolView) -> Option<String> {
    // The answer is the same for all instances of one failure domain.
    let by_domain: BTreeMap<&FailureDomain, &InstanceId> =
        view.domains.iter().map(|(instance, domain)| (domain, instance)).collect();
    let denied = by_domain.iter().filter_map(|(domain, instance)| {
        match plan_outage(&PoolRow::default(), view, instance) {
            Err(DenialReason::Budget { unavailable, reserve, .. }) => {
                Some((*domain, unavailable + reserve))
            }
            _ => None,
        }
    });
    let denied: BTreeMap<&FailureDomain, u32> = denied.collect();
    let needed = denied.values().max()?;
    let instances = view.domains.values().filter(|domain| denied.contains_key(domain)).count();
    Some(format!(
        "no maintenance is possible on {instances} of {} instances: one planned outage and the failure of a \
         whole failure domain need a budget of {needed}, and it is {}",
        view.domains.len(),
        view.unavailable_max
    ))
}

fn warn_of_instances(config: &Config, warnings: &mut Vec<Warning>) {
    for (name, instance) in &config.instances {
        if instance.connections_max < instance.slots {
            let detail = format!(
                "{} connections, one for each request, leave some of {} slots unused",
                instance.connections_max, instance.slots
            );
            warnings.push(warning("instances", name, "connections_max", detail));
        }
    }
}

fn warn_of_teams(config: &Config, warnings: &mut Vec<Warning>) {
    let keys = config.keys.values().filter(|key| !key.withdrawn);
    let with_key = keys.filter_map(|key| match &key.holder {
        Principal::Team(team) => Some(team),
        Principal::Operator(_) => None,
    });
    let open = config.queues.values().filter_map(|queue| queue.open_team.as_ref());
    let reachable: BTreeSet<&TeamId> = with_key.chain(open).collect();
    let fleet_slots: u64 = config.instances.values().map(|i| u64::from(i.slots)).sum();
    let smallest_pool_slots = smallest_pool_slots(config);
    let weights: u64 = config.teams.values().map(|team| u64::from(team.weight)).sum();
    for (name, team) in &config.teams {
        let limit_slots = u64::from(team.limit_slots);
        if !reachable.contains(name) {
            let detail = "no key of the configuration admits the team, and no queue is open for it";
            warnings.push(warning("teams", name, "", detail.to_owned()));
        }
        if limit_slots == 0 {
            let detail = "a limit of 0 slots lets nothing of the team run".to_owned();
            warnings.push(warning("teams", name, "limit_slots", detail));
            continue;
        }
        if fleet_slots > 0 && limit_slots > fleet_slots {
            let detail =
                format!("the limit has no effect, since the fleet has {fleet_slots} slots");
            warnings.push(warning("teams", name, "limit_slots", detail));
        }
        // Pools are shared by weight one by one, and a share only grows when other teams have less demand.
        let share_slots = (u128::from(smallest_pool_slots) * u128::from(team.weight))
            .checked_div(u128::from(weights))
            .unwrap_or(0);
        if config.teams.len() > 1 && share_slots > u128::from(limit_slots) {
            let detail = format!(
                "the weight has no effect, since its share is at least {share_slots} slots in every pool and \
                 the limit is {limit_slots}"
            );
            warnings.push(warning("teams", name, "weight", detail));
        }
    }
}

/// Returns the slots of the smallest pool that does work, or zero if there is none.
fn smallest_pool_slots(config: &Config) -> u64 {
    let mut slots: BTreeMap<&PoolId, u64> = BTreeMap::new();
    for instance in config.instances.values() {
        if !is_spare(config, &instance.pool) {
            *slots.entry(&instance.pool).or_default() += u64::from(instance.slots);
        }
    }
    slots.values().copied().min().unwrap_or(0)
}

fn warn_of_queues(config: &Config, warnings: &mut Vec<Warning>) {
    for (name, queue) in &config.queues {
        if queue.jobs_max == 0 {
            let detail = "the queue has no place for a job, so every submission is refused";
            warnings.push(warning("queues", name, "jobs_max", detail.to_owned()));
        }
        if is_spare(config, &queue.pool) {
            warnings.push(work_in_spare_pool("queues", name, &queue.pool));
        }
    }
}
