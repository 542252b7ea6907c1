//! The operator's configuration of the fleet, and the lookup of the queue for a call.

use std::collections::{BTreeMap, HashMap};

use wasabiswitch_derive::derives;

use super::spec::ResourceVector;
use super::state::{Engine, PoolSettings, QueueSettings};
use crate::ids::{PoolId, QueueId, TeamId};

/// Version of a configuration; it only increases.
pub type ConfigVersion = u64;

/// Route from a host and a path prefix to a queue.
#[derives(record)]
pub struct Route {
    /// Queue that the route leads to.
    pub queue: QueueId,
    /// Host name, compared without case and port.
    pub host: String,
    /// Prefix of the path.
    pub prefix: String,
    /// Whether calls need no API key.
    pub open: bool,
    /// Settings of the queue.
    pub queue_settings: QueueSettings,
}

/// Configuration of the fleet in one version.
#[derives(record)]
#[derive(Default)]
pub struct FleetConfig {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Routes to queues, sorted with the longest prefix first.
    pub routes: Vec<Route>,
    /// Settings of each pool.
    pub pools: BTreeMap<PoolId, PoolSettings>,
    /// Weight and cap of each team.
    pub teams: BTreeMap<TeamId, (u64, ResourceVector)>,
    /// Team of each API key.
    pub keys: HashMap<String, TeamId>,
}

impl FleetConfig {
    /// Returns the route with the longest prefix that matches a call, if the routes are sorted.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        self.routes
            .iter()
            .find(|route| route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix))
    }

    /// Sorts the routes by descending prefix length, so that the first match is the most specific one.
    pub fn sort_routes(&mut self) {
        self.routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }
}

impl Engine {
    /// Applies a configuration to the queues, pools and teams.
    pub fn apply_config(&mut self, config: &FleetConfig) {
        let queues =
            config.routes.iter().map(|route| (route.queue.clone(), route.queue_settings.clone()));
        self.configure(queues.collect(), config.pools.clone(), config.teams.clone());
    }
}
