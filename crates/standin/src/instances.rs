//! The platform's list of instances, which shows changes with a lag.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;
use wasabiswitch_kernel::platform::ListedInstance;
use wasabiswitch_policy::ids::BootId;

#[derives(record)]
struct Entry {
    current: ListedInstance,
    // The previous state, which the list shows until the given time.
    previous: Option<(Option<ListedInstance>, Instant)>,
}

/// The instances, with their current state and the state that the list shows.
#[derives(record)]
#[derive(Default)]
pub struct InstanceList {
    instances: BTreeMap<String, Entry>,
    lag: Duration,
}

impl InstanceList {
    /// Sets the time after which the list shows a change.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Adds an instance, which is listed at once.
    pub fn add(&mut self, instance: &str) {
        let current = ListedInstance { instance: instance.to_owned(), boot: 1, leaving: false };
        self.instances.insert(instance.to_owned(), Entry { current, previous: None });
    }

    /// Marks an instance as leaving, which the list shows after the lag.
    pub fn mark_leaving(&mut self, instance: &str, now: Instant) {
        self.change(instance, now, |listed| listed.leaving = true);
    }

    /// Reboots an instance: it has a new boot id and is not leaving any more, which the list shows after the lag.
    pub fn reboot(&mut self, instance: &str, now: Instant) {
        self.change(instance, now, |listed| {
            listed.boot += 1;
            listed.leaving = false;
        });
    }

    fn change(&mut self, instance: &str, now: Instant, change: impl FnOnce(&mut ListedInstance)) {
        let until = now + self.lag;
        if let Some(entry) = self.instances.get_mut(instance) {
            entry.previous = Some((Some(entry.current.clone()), until));
            change(&mut entry.current);
        }
    }

    /// Removes an instance from the list at once, regardless of the lag, as if the instance had failed.
    pub fn remove(&mut self, instance: &str) {
        self.instances.remove(instance);
    }

    /// Returns the current boot id of an instance, regardless of the lag; zero if there is no such instance.
    pub fn boot(&self, instance: &str) -> BootId {
        self.instances.get(instance).map_or(0, |entry| entry.current.boot)
    }

    /// Returns the instances that the list shows at `now`, which lags behind their current state.
    pub fn list(&self, now: Instant) -> Vec<ListedInstance> {
        self.instances
            .values()
            .filter_map(|entry| match &entry.previous {
                Some((previous, until)) if now < *until => previous.clone(),
                _ => Some(entry.current.clone()),
            })
            .collect()
    }
}
