//! Plug-ins: the features of the daemon, each registered by its own module.
//!
//! A plug-in is a plain struct of names and functions. Its module registers it with
//! `inventory::submit!`. At start the kernel collects all plug-ins and sorts them topologically, so that each
//! starts after the plug-ins named in its field `follows`. Duplicate names, missing plug-ins and cycles are
//! errors. A new feature is a new module; the kernel does not change. The start order does not depend on the
//! order of linking.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use tokio::sync::Notify;

use crate::error::Error;
use crate::http::control::ControlRoute;
use crate::http::entry::EntryRoute;
use crate::kernel::Kernel;
use crate::tables::ActiveConfig;

/// Asynchronous function of a plug-in without a result.
pub type TaskFn = fn(Arc<Kernel>) -> BoxFuture<'static, ()>;

/// Asynchronous function that starts a plug-in; an error keeps the daemon from starting.
pub type StartFn = fn(Arc<Kernel>) -> BoxFuture<'static, Result<(), Error>>;

/// Function that a plug-in runs repeatedly until the daemon stops.
#[derive(Clone, Copy)]
pub struct PeriodicTask {
    /// Name of the task, which is its label in the counter of panics.
    pub name: &'static str,
    /// Maximum pause between two runs.
    pub interval: fn(&Kernel) -> Duration,
    /// Notification that starts the next run before the end of the pause.
    pub wake: Option<fn(&Kernel) -> &Notify>,
    /// Function to run.
    pub run: TaskFn,
}

/// Kind of platform for which a plug-in is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformKind {
    /// The table service and the workers of the stand-ins.
    Rows,
    /// The users' platform.
    Fleet,
}

/// Feature of the daemon: routes, periodic tasks and functions for start and stop.
#[derive(Clone)]
pub struct Plugin {
    /// Unique name of the plug-in.
    pub name: &'static str,
    /// Platform for which the plug-in is written; the daemon starts only those for its own platform.
    pub platform_kind: PlatformKind,
    /// Names of the plug-ins that start before this one.
    pub follows: &'static [&'static str],
    /// Routes of the plug-in on the entry listener.
    pub entry_routes: Vec<EntryRoute>,
    /// Routes of the plug-in on the control listener.
    pub control_routes: Vec<ControlRoute>,
    /// Tasks that the kernel runs repeatedly.
    pub periodic_tasks: Vec<PeriodicTask>,
    /// Runs once, in start order, before any request is served.
    pub start: StartFn,
    /// Runs when a configuration has come into force; it must not block.
    pub on_config: fn(&Kernel, &ActiveConfig),
    /// Runs once, in reverse start order, after the last request has ended.
    pub stop: TaskFn,
}

impl std::fmt::Debug for Plugin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Plugin").field("name", &self.name).field("follows", &self.follows).finish()
    }
}

impl Plugin {
    /// Creates a plug-in without routes or tasks, whose functions do nothing.
    pub fn new(name: &'static str, follows: &'static [&'static str]) -> Plugin {
        Plugin {
            name,
            platform_kind: PlatformKind::Rows,
            follows,
            entry_routes: Vec::new(),
            control_routes: Vec::new(),
            periodic_tasks: Vec::new(),
            start: |_| async { Ok(()) }.boxed(),
            on_config: |_, _| {},
            stop: |_| async {}.boxed(),
        }
    }
}

/// Entry of the registry: a function that creates a plug-in.
pub struct Registration(pub fn() -> Plugin);

inventory::collect!(Registration);

/// Returns all registered plug-ins, in unspecified order.
pub fn registered() -> Vec<Plugin> {
    inventory::iter::<Registration>.into_iter().map(|registration| (registration.0)()).collect()
}

/// Returns the registered plug-ins for `platform_kind`, in unspecified order.
pub fn registered_for_platform(platform_kind: PlatformKind) -> Vec<Plugin> {
    registered().into_iter().filter(|plugin| plugin.platform_kind == platform_kind).collect()
}

/// Error of a set of plug-ins that cannot be sorted into a start order.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum PluginError {
    /// Two plug-ins have the same name.
    #[error("two plug-ins are named {0:?}")]
    Duplicate(&'static str),
    /// A plug-in follows one that is not in the set.
    #[error("plug-in {plugin:?} follows {missing:?}, which is not registered")]
    Missing {
        /// Name of the plug-in.
        plugin: &'static str,
        /// Name of the plug-in that it follows.
        missing: &'static str,
    },
    /// Plug-ins follow each other in a cycle.
    #[error("plug-ins follow each other in a cycle: {}", .0.join(", "))]
    Cycle(Vec<&'static str>),
}

/// Sorts plug-ins topologically, each after those that it follows, with ties broken by name.
pub fn sort(plugins: Vec<Plugin>) -> Result<Vec<Plugin>, PluginError> {
    let mut remaining: BTreeMap<&'static str, Plugin> = BTreeMap::new();
    for plugin in plugins {
        let name = plugin.name;
        if remaining.insert(name, plugin).is_some() {
            return Err(PluginError::Duplicate(name));
        }
    }
    for plugin in remaining.values() {
        let missing = plugin.follows.iter().find(|name| !remaining.contains_key(*name));
        if let Some(missing) = missing {
            return Err(PluginError::Missing { plugin: plugin.name, missing });
        }
    }
    let mut sorted = Vec::with_capacity(remaining.len());
    let mut started = BTreeSet::new();
    while !remaining.is_empty() {
        let next = remaining.values().find(|p| p.follows.iter().all(|name| started.contains(name)));
        let Some(name) = next.map(|plugin| plugin.name) else {
            return Err(PluginError::Cycle(remaining.into_keys().collect()));
        };
        started.insert(name);
        sorted.extend(remaining.remove(name));
    }
    Ok(sorted)
}
