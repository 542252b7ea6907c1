//! Warnings about the operator's configuration of the fleet: entries that have no effect.
//!
//! [`FleetConfig`](super::config::FleetConfig) keeps only the entries that are in force, so the rules work on
//! the lists from which it is made. docs/design/config-check.md gives the reasons for the rules.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use wasabiswitch_derive::derives;

use super::config::Route;
use super::state::PoolSettings;
use crate::ids::{PoolId, QueueId, TeamId};

/// Valid entries of a configuration, each with its index in the operator's list.
#[derives(record)]
#[derive(Default)]
pub struct ListedEntries {
    /// Routes, in the operator's order.
    pub routes: Vec<(usize, Route)>,
    /// Pools, in the operator's order.
    pub pools: Vec<(usize, PoolId, PoolSettings)>,
    /// Teams and their keys, in the operator's order.
    pub teams: Vec<(usize, TeamId, Vec<String>)>,
}

/// Place of a finding; the number is the index in the operator's list.
#[derives(value)]
pub enum Place {
    /// Route as a whole.
    Route(usize),
    /// Host of a route.
    RouteHost(usize),
    /// Path prefix of a route.
    RoutePrefix(usize),
    /// Pool of a route.
    RoutePool(usize),
    /// Terms of a route that set the objective of its jobs.
    RouteObjective(usize),
    /// Pool as a whole.
    Pool(usize),
    /// Mark of a standby pool.
    PoolStandby(usize),
    /// Team as a whole.
    Team(usize),
    /// Key of a team, with its index in the list of the team's keys.
    TeamKey(usize, usize),
}

/// Warning about an entry of a list.
pub type ListWarning = (Place, String);

/// Returns all warnings about the entries, sorted by place.
pub fn warnings(entries: &ListedEntries) -> Vec<ListWarning> {
    let mut warnings = Vec::new();
    warn_of_matches(entries, &mut warnings);
    warn_of_queues(entries, &mut warnings);
    warn_of_pools(entries, &mut warnings);
    warn_of_teams(entries, &mut warnings);
    warnings.sort();
    warnings
}

/// Finds routes that no call matches, by the rules of [`FleetConfig::route`](super::config::FleetConfig::route).
fn warn_of_matches(entries: &ListedEntries, warnings: &mut Vec<ListWarning>) {
    let mut first_matches: HashMap<(String, &str), &QueueId> = HashMap::new();
    for (index, route) in &entries.routes {
        if route.host.contains(':') {
            let detail =
                "the port of a call's host is not compared, so a host with ':' never matches";
            warnings.push((Place::RouteHost(*index), detail.to_owned()));
        }
        if !route.prefix.is_empty() && !route.prefix.starts_with('/') {
            let detail = "a path begins with '/', so this prefix never matches".to_owned();
            warnings.push((Place::RoutePrefix(*index), detail));
        } else if route.prefix.contains(['?', '#']) {
            let detail = "the query of a call is not compared, so this prefix never matches";
            warnings.push((Place::RoutePrefix(*index), detail.to_owned()));
        }
        let matched = (route.host.to_ascii_lowercase(), &*route.prefix);
        if let Some(first) = first_matches.get(&matched) {
            let detail = format!(
                "never matches, since the earlier route {first:?} has the same host and prefix"
            );
            warnings.push((Place::Route(*index), detail));
        } else {
            first_matches.insert(matched, &route.queue);
        }
    }
}

/// Finds queues without instances that can serve them, and settings of queues that are not in force.
fn warn_of_queues(entries: &ListedEntries, warnings: &mut Vec<ListWarning>) {
    let pools: HashMap<&PoolId, &PoolSettings> =
        entries.pools.iter().map(|(_, pool, settings)| (pool, settings)).collect();
    // The settings of the last route of a queue are in force, in the order of `FleetConfig::sort_routes`.
    let mut ordered: Vec<&(usize, Route)> = entries.routes.iter().collect();
    ordered.sort_by_key(|(_, route)| Reverse(route.prefix.len()));
    let in_force: BTreeMap<&QueueId, (usize, &Route)> =
        ordered.iter().map(|(index, route)| (&route.queue, (*index, route))).collect();
    for (index, route) in &entries.routes {
        let settings = &route.queue_settings;
        match pools.get(&settings.pool) {
            None => {
                let detail = format!("the pool {:?} is not listed", settings.pool);
                warnings.push((Place::RoutePool(*index), detail));
            }
            Some(pool) if pool.standby => {
                let detail =
                    format!("{:?} is a standby pool, whose instances are off", settings.pool);
                warnings.push((Place::RoutePool(*index), detail));
            }
            Some(_) => {}
        }
        if settings.objective_ms == 0 && settings.slack_factor < 1.0 {
            let detail = "the objective is shorter than the critical path of each job, so no job can be in time";
            warnings.push((Place::RouteObjective(*index), detail.to_owned()));
        }
        let (used_index, used) = in_force[&route.queue];
        if used.queue_settings != *settings {
            let detail = format!(
                "the settings of this route are not used, since those of the route with index {used_index} \
                 are in force for the queue {:?}",
                route.queue
            );
            warnings.push((Place::Route(*index), detail));
        }
    }
}

fn warn_of_pools(entries: &ListedEntries, warnings: &mut Vec<ListWarning>) {
    let routed: BTreeSet<&PoolId> =
        entries.routes.iter().map(|(_, route)| &route.queue_settings.pool).collect();
    let last: BTreeMap<&PoolId, (usize, bool)> = entries
        .pools
        .iter()
        .map(|(index, pool, settings)| (pool, (*index, settings.standby)))
        .collect();
    // The engine uses the first standby pool by name.
    let standby = last.iter().find(|(_, (_, standby))| *standby).map(|(pool, _)| *pool);
    for (index, pool, settings) in &entries.pools {
        if last[pool].0 != *index {
            let detail = format!("not used, since a later entry is named {pool:?} too");
            warnings.push((Place::Pool(*index), detail));
        } else if settings.standby && standby != Some(pool) {
            let detail = format!(
                "instances of this pool are never used, since {:?} is the standby pool",
                standby.map_or("", |standby| &**standby)
            );
            warnings.push((Place::PoolStandby(*index), detail));
        } else if !settings.standby && !routed.contains(pool) {
            warnings.push((Place::Pool(*index), "no route leads to the pool".to_owned()));
        }
    }
}

fn warn_of_teams(entries: &ListedEntries, warnings: &mut Vec<ListWarning>) {
    let last_names: HashMap<&TeamId, usize> =
        entries.teams.iter().map(|(index, team, _)| (team, *index)).collect();
    let all_keys = entries
        .teams
        .iter()
        .flat_map(|(_, team, keys)| keys.iter().map(move |key| (key.as_str(), team)));
    let team_of_key: HashMap<&str, &TeamId> = all_keys.collect();
    for (index, team, keys) in &entries.teams {
        if last_names[team] != *index {
            let detail = format!(
                "the weight and the cap are not used, since a later entry is named {team:?} too"
            );
            warnings.push((Place::Team(*index), detail));
        }
        if keys.is_empty() {
            let detail = "the team has no key, so no call belongs to it".to_owned();
            warnings.push((Place::Team(*index), detail));
        }
        for (key_index, key) in keys.iter().enumerate() {
            let place = Place::TeamKey(*index, key_index);
            let holder = team_of_key[key.as_str()];
            if !can_be_sent(key) {
                let detail = "never matches, since no header can carry this key".to_owned();
                warnings.push((place, detail));
            } else if holder != team {
                let detail = format!("the key admits the team {holder:?}, which has it too");
                warnings.push((place, detail));
            }
        }
    }
}

/// Returns whether a header field can carry a key: visible ASCII with spaces and tabs, but not at the end, where
/// they are removed.
fn can_be_sent(key: &str) -> bool {
    let visible = key.bytes().all(|byte| matches!(byte, b'\t' | b' '..=b'~'));
    visible && !key.is_empty() && !key.ends_with([' ', '\t'])
}
