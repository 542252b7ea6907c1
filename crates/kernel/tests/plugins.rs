//! The order of plug-ins, the order of locks, and the joining of tasks.

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
fn the_order_is_the_declared_one_whatever_the_order_of_linking() {
    let a = || Plugin::new("a", &["c"]);
    let b = || Plugin::new("b", &[]);
    let c = || Plugin::new("c", &["b"]);
    let expected = Ok(vec!["b", "c", "a"]);
    assert_eq!(names(vec![a(), b(), c()]), expected);
    assert_eq!(names(vec![c(), b(), a()]), expected);
}

#[test]
fn sets_that_cannot_be_sorted_are_refused_with_the_reason() {
    let cases = [
        (
            vec![Plugin::new("a", &["b"]), Plugin::new("b", &["a"])],
            "these plug-ins follow each other in a circle: a, b",
        ),
        (
            vec![Plugin::new("a", &["missing"])],
            "plug-in \"a\" follows \"missing\", which is not there",
        ),
        (vec![Plugin::new("a", &[]), Plugin::new("a", &[])], "two plug-ins are named \"a\""),
    ];
    for (plugins, message) in cases {
        let error = names(plugins).expect_err(message);
        assert_eq!(error.to_string(), message);
    }
}

#[test]
fn locks_are_taken_in_the_order_of_their_ranks() {
    let config = Ranked::new(Rank::Config, 1);
    let teams = Ranked::new(Rank::Teams, 2);
    let sum = *config.lock() + *teams.lock();
    assert_eq!(sum, 3);
    let first = config.lock();
    let second = teams.lock();
    drop(first);
    drop(second);
    assert_eq!(*config.lock(), 1, "what was released may be taken again");
}

#[test]
#[cfg(debug_assertions)]
#[should_panic(expected = "lock of rank Config taken while Teams is held")]
fn a_breach_of_the_order_panics() {
    let config = Ranked::new(Rank::Config, 1);
    let teams = Ranked::new(Rank::Teams, 2);
    let _teams = teams.lock();
    let _config = config.lock();
}

#[test]
#[cfg(debug_assertions)]
#[should_panic(expected = "lock of rank Teams taken while Teams is held")]
fn two_locks_of_one_rank_are_a_breach() {
    let (a, b) = (Ranked::new(Rank::Teams, 1), Ranked::new(Rank::Teams, 2));
    let _a = a.lock();
    let _b = b.lock();
}

#[tokio::test(start_paused = true)]
async fn a_parent_joins_its_children_and_grandchildren() {
    let tree = TaskTree::new();
    let child = tree.child().child();
    let ended = Arc::new(AtomicBool::new(false));
    let (seen, stop) = (ended.clone(), child.stop_token());
    child.spawn("grandchild", async move {
        stop.cancelled().await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        seen.store(true, Ordering::Release);
    });
    assert!(tree.join(Duration::from_secs(5)).await);
    assert!(ended.load(Ordering::Acquire));
}

#[tokio::test(start_paused = true)]
async fn a_join_is_bounded_and_a_panic_does_not_hold_it_up() {
    let tree = TaskTree::new();
    tree.spawn("panics", async { panic!("on purpose") });
    tree.spawn("hangs", std::future::pending());
    assert!(!tree.join(Duration::from_secs(1)).await, "one task hangs");
    let tree = TaskTree::new();
    tree.spawn("panics", async { panic!("on purpose") });
    tree.spawn_until_stopped("waits", std::future::pending());
    assert!(tree.join(Duration::from_secs(1)).await);
}
