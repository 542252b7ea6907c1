//! Start order of plug-ins, lock order, and joining of tasks.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use wasabiswitch_kernel::lock::{Rank, Ranked};
use wasabiswitch_kernel::plugin::{Plugin, PluginError, sort};
use wasabiswitch_kernel::tasks::TaskTree;

fn names(plugins: Vec<Plugin>) -> Result<Vec<&'static str>, PluginError> {
    sort(plugins).map(|sorted| sorted.into_iter().map(|plugin| plugin.name).collect())
}

#[test]
fn start_order_does_not_depend_on_link_order() {
    let a = || Plugin::new("a", &["c"]);
    let b = || Plugin::new("b", &[]);
    let c = || Plugin::new("c", &["b"]);
    let expected = Ok(vec!["b", "c", "a"]);
    assert_eq!(names(vec![a(), b(), c()]), expected);
    assert_eq!(names(vec![c(), b(), a()]), expected);
}

#[test]
fn unsortable_sets_are_rejected_with_the_reason() {
    let cases = [
        (
            vec![Plugin::new("a", &["b"]), Plugin::new("b", &["a"])],
            "plug-ins follow each other in a cycle: a, b",
        ),
        (
            vec![Plugin::new("a", &["missing"])],
            "plug-in \"a\" follows \"missing\", which is not registered",
        ),
        (vec![Plugin::new("a", &[]), Plugin::new("a", &[])], "two plug-ins are named \"a\""),
    ];
    for (plugins, message) in cases {
        let error = names(plugins).expect_err(message);
        assert_eq!(error.to_string(), message);
    }
}

#[test]
fn locks_can_be_taken_in_rank_order() {
    let config = Ranked::new(Rank::Config, 1);
    let teams = Ranked::new(Rank::Teams, 2);
    let sum = *config.lock() + *teams.lock();
    assert_eq!(sum, 3);
    let first = config.lock();
    let second = teams.lock();
    drop(first);
    drop(second);
    assert_eq!(*config.lock(), 1, "a released lock can be taken again");
}

#[test]
#[cfg(debug_assertions)]
#[should_panic(expected = "lock of rank Config taken while Teams is held")]
fn lock_order_violation_panics() {
    let config = Ranked::new(Rank::Config, 1);
    let teams = Ranked::new(Rank::Teams, 2);
    let _teams = teams.lock();
    let _config = config.lock();
}

#[test]
#[cfg(debug_assertions)]
#[should_panic(expected = "lock of rank Teams taken while Teams is held")]
fn two_locks_of_the_same_rank_panic() {
    let (a, b) = (Ranked::new(Rank::Teams, 1), Ranked::new(Rank::Teams, 2));
    let _a = a.lock();
    let _b = b.lock();
}

#[tokio::test(start_paused = true)]
async fn join_waits_for_nested_subtrees() {
    let tree = TaskTree::new();
    let child = tree.child().child();
    let ended = Arc::new(AtomicBool::new(false));
    let (ended_flag, stop) = (ended.clone(), child.stop_token());
    child.spawn("grandchild", async move {
        stop.cancelled().await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        ended_flag.store(true, Ordering::Release);
    });
    assert!(tree.join(Duration::from_secs(5)).await);
    assert!(ended.load(Ordering::Acquire));
}

#[tokio::test(start_paused = true)]
async fn join_is_bounded_and_ignores_panicked_tasks() {
    let tree = TaskTree::new();
    tree.spawn("panics", async { panic!("on purpose") });
    tree.spawn("hangs", std::future::pending());
    assert!(!tree.join(Duration::from_secs(1)).await, "one task hangs");
    let tree = TaskTree::new();
    tree.spawn("panics", async { panic!("on purpose") });
    tree.spawn_until_stopped("waits", std::future::pending());
    assert!(tree.join(Duration::from_secs(1)).await);
}
