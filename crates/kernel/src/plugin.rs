//! Plug-ins: what the daemon can do, registered by the modules that do it.
//!
//! A plug-in is a plain struct of names and functions. Its module registers it with
//! `inventory::submit!`, and the kernel collects all of them at start, sorts them by the names that they
//! follow, and refuses sets that cannot be sorted. Adding a capability is adding a module; the kernel
//! is not edited. The order does not depend on linking.

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

/// A function that runs to its end without a result.
pub type TaskFn = fn(Arc<Kernel>) -> BoxFuture<'static, ()>;

/// A function that a plug-in runs at its start.
pub type StartFn = fn(Arc<Kernel>) -> BoxFuture<'static, Result<(), Error>>;

/// Work that is done again and again.
#[derive(Clone, Copy)]
pub struct PeriodicTask {
    /// The name, for the counter of panics.
    pub name: &'static str,
    /// The longest pause between two runs.
    pub interval: fn(&Kernel) -> Duration,
    /// What starts the next run before the pause is over, if anything.
    pub wake: Option<fn(&Kernel) -> &Notify>,
    /// The work.
    pub run: TaskFn,
}

/// What a plug-in builds upon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformKind {
    /// The stand-ins' table service and workers.
    Rows,
    /// The users' platform.
    Fleet,
}

/// A capability of the daemon.
#[derive(Clone)]
pub struct Plugin {
    /// The name, which no other plug-in has.
    pub name: &'static str,
    /// What it builds upon; the daemon starts only the plug-ins that fit its platform.
    pub platform_kind: PlatformKind,
    /// The plug-ins that must be started before this one.
    pub follows: &'static [&'static str],
    /// The paths that it answers on the entry listener.
    pub entry_routes: Vec<EntryRoute>,
    /// The paths that it answers on the control listener.
    pub control_routes: Vec<ControlRoute>,
    /// The work that it does again and again.
    pub periodic_tasks: Vec<PeriodicTask>,
    /// Runs once, in order, before the listeners open.
    pub start: StartFn,
    /// Runs when a configuration has come into force; it must not wait.
    pub on_config: fn(&Kernel, &ActiveConfig),
    /// Runs once, in reverse order, after the last request has ended.
    pub stop: TaskFn,
}

impl std::fmt::Debug for Plugin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Plugin").field("name", &self.name).field("follows", &self.follows).finish()
    }
}

impl Plugin {
    /// Creates a plug-in that does nothing yet.
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

/// A plug-in that a module registers.
pub struct Registration(pub fn() -> Plugin);

inventory::collect!(Registration);

/// Returns all registered plug-ins, in no stated order.
pub fn registered() -> Vec<Plugin> {
    inventory::iter::<Registration>.into_iter().map(|registration| (registration.0)()).collect()
}

/// Returns the registered plug-ins that build upon `platform_kind`, in no stated order.
pub fn registered_for_platform(platform_kind: PlatformKind) -> Vec<Plugin> {
    registered().into_iter().filter(|plugin| plugin.platform_kind == platform_kind).collect()
}

/// Why a set of plug-ins cannot be started.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum PluginError {
    /// Two plug-ins have the same name.
    #[error("two plug-ins are named {0:?}")]
    Duplicate(&'static str),
    /// A plug-in follows one that is not there.
    #[error("plug-in {plugin:?} follows {missing:?}, which is not there")]
    Missing {
        /// The plug-in.
        plugin: &'static str,
        /// What it follows.
        missing: &'static str,
    },
    /// Plug-ins follow each other in a circle.
    #[error("these plug-ins follow each other in a circle: {}", .0.join(", "))]
    Cycle(Vec<&'static str>),
}

/// Sorts plug-ins so that each comes after those that it follows, and by name where that is open.
pub fn sort(plugins: Vec<Plugin>) -> Result<Vec<Plugin>, PluginError> {
    let mut rest: BTreeMap<&'static str, Plugin> = BTreeMap::new();
    for plugin in plugins {
        let name = plugin.name;
        if rest.insert(name, plugin).is_some() {
            return Err(PluginError::Duplicate(name));
        }
    }
    for plugin in rest.values() {
        let missing = plugin.follows.iter().find(|name| !rest.contains_key(*name));
        if let Some(missing) = missing {
            return Err(PluginError::Missing { plugin: plugin.name, missing });
        }
    }
    let mut sorted = Vec::with_capacity(rest.len());
    let mut started = BTreeSet::new();
    while !rest.is_empty() {
        let next = rest.values().find(|p| p.follows.iter().all(|name| started.contains(name)));
        let Some(name) = next.map(|plugin| plugin.name) else {
            return Err(PluginError::Cycle(rest.into_keys().collect()));
        };
        started.insert(name);
        sorted.extend(rest.remove(name));
    }
    Ok(sorted)
}
