//! The platform's list of instances, which lags behind.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;
use wasabiswitch_kernel::platform::ListedInstance;
use wasabiswitch_policy::ids::BootId;

#[derives(record)]
struct Listed {
    now: ListedInstance,
    // What the list showed before, and until when it goes on to show that.
    before: Option<(Option<ListedInstance>, Instant)>,
}

/// The instances as they are, and as the list shows them.
#[derives(record)]
#[derive(Default)]
pub struct InstanceList {
    instances: BTreeMap<String, Listed>,
    lag: Duration,
}

impl InstanceList {
    /// Sets how late the list is.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Adds an instance that is listed at once.
    pub fn add(&mut self, instance: &str) {
        let now = ListedInstance { instance: instance.to_owned(), boot: 1, leaving: false };
        self.instances.insert(instance.to_owned(), Listed { now, before: None });
    }

    /// Marks an instance as leaving.
    pub fn mark_leaving(&mut self, instance: &str, now: Instant) {
        self.change(instance, now, |listed| listed.leaving = true);
    }

    /// Boots an instance anew.
    pub fn reboot(&mut self, instance: &str, now: Instant) {
        self.change(instance, now, |listed| {
            listed.boot += 1;
            listed.leaving = false;
        });
    }

    fn change(&mut self, instance: &str, now: Instant, change: impl FnOnce(&mut ListedInstance)) {
        let until = now + self.lag;
        if let Some(listed) = self.instances.get_mut(instance) {
            listed.before = Some((Some(listed.now.clone()), until));
            change(&mut listed.now);
        }
    }

    /// Removes an instance at once, as when it fails.
    pub fn remove(&mut self, instance: &str) {
        self.instances.remove(instance);
    }

    /// Returns the boot that an instance really has; zero if there is none.
    pub fn boot(&self, instance: &str) -> BootId {
        self.instances.get(instance).map_or(0, |listed| listed.now.boot)
    }

    /// Returns the list as it is shown at `now`.
    pub fn list(&self, now: Instant) -> Vec<ListedInstance> {
        self.instances
            .values()
            .filter_map(|listed| match &listed.before {
                Some((before, until)) if now < *until => before.clone(),
                _ => Some(listed.now.clone()),
            })
            .collect()
    }
}
