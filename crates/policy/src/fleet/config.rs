//! What the operator's configuration says, and how a call finds its queue and its team.

use std::collections::{BTreeMap, HashMap};

use wasabiswitch_derive::derives;

use super::spec::ResourceVector;
use super::state::{Engine, PoolSettings, QueueSettings};
use crate::ids::{PoolId, QueueId, TeamId};

/// The version of a configuration, which only grows.
pub type ConfigVersion = u64;

/// Where calls for a queue arrive.
#[derives(record)]
pub struct Route {
    /// The queue.
    pub queue: QueueId,
    /// The host that the call names.
    pub host: String,
    /// The start of the path.
    pub prefix: String,
    /// Whether no key is needed.
    pub open: bool,
    /// What the configuration says of the queue.
    pub queue_settings: QueueSettings,
}

/// A configuration.
#[derives(record)]
#[derive(Default)]
pub struct FleetConfig {
    /// Its version.
    pub version: ConfigVersion,
    /// The routes, the longest prefix first.
    pub routes: Vec<Route>,
    /// The pools.
    pub pools: BTreeMap<PoolId, PoolSettings>,
    /// The weight and the cap of each team.
    pub teams: BTreeMap<TeamId, (u64, ResourceVector)>,
    /// The team of each key.
    pub keys: HashMap<String, TeamId>,
}

impl FleetConfig {
    /// Returns the route of a call, the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        self.routes
            .iter()
            .find(|route| route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix))
    }

    /// Sorts the routes so that the first match is the one with the longest prefix.
    pub fn sort_routes(&mut self) {
        self.routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }
}

impl Engine {
    /// Takes in a configuration.
    pub fn apply_config(&mut self, config: &FleetConfig) {
        let queues =
            config.routes.iter().map(|route| (route.queue.clone(), route.queue_settings.clone()));
        self.configure(queues.collect(), config.pools.clone(), config.teams.clone());
    }
}
