//! Conditional writes whose responses are lost, delayed or duplicated, checked against a counter row.

use std::time::Duration;

use wasabiswitch_kernel::clock::Clock;
use wasabiswitch_kernel::store::{CallClass, Change, Store, StoreError, StoreErrorKind};
use wasabiswitch_policy::Verdict;
use wasabiswitch_standin::{Fault, FaultTarget, Operation, StandIn};

fn setup() -> (StandIn, Store) {
    let standin = StandIn::new(Clock::tokio());
    let store = Store::new(standin.platform(), Clock::tokio());
    (standin, store)
}

async fn increment(store: &Store) -> Result<u64, StoreError> {
    let options = store.within(CallClass::Control, Duration::from_secs(5));
    let decide = |row: Option<&u64>| {
        let next = row.copied().unwrap_or(0) + 1;
        Change::Write(next, next)
    };
    store.mutate(options, "counter", decide).await
}

async fn read_counter(store: &Store) -> u64 {
    let options = store.within(CallClass::Control, Duration::from_secs(5));
    let row = store.read::<u64>(options, "counter").await.expect("the store answers");
    row.map_or(0, |row| row.value)
}

#[tokio::test(start_paused = true)]
async fn write_takes_effect_at_most_once_despite_faults() {
    fastrand::seed(5);
    let faults = [
        Fault::Refuse,
        Fault::Hang,
        Fault::Slow(Duration::from_secs(1)),
        Fault::SlowResponse(Duration::from_secs(1)),
        Fault::LostResponse,
        Fault::DuplicateDelivery,
    ];
    for fault in faults {
        for times in 1..=3 {
            let (standin, store) = setup();
            increment(&store).await.expect("no fault is injected yet");
            standin.faults().inject(Operation::Commit, fault, times);
            let outcome = increment(&store).await;
            standin.faults().clear();
            tokio::time::sleep(Duration::from_secs(10)).await;
            let stored = read_counter(&store).await;
            match outcome {
                Ok(value) => assert_eq!((value, stored), (2, 2), "{fault:?} x {times}"),
                Err(error) if error.verdict() == Verdict::NotRun => {
                    assert_eq!(stored, 1, "{fault:?} x {times}: {error}");
                }
                Err(error) => assert!(stored <= 2, "{fault:?} x {times}: {error}"),
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn lost_response_is_resolved_after_concurrent_writes() {
    let (standin, store) = setup();
    let other = Store::new(standin.platform(), Clock::tokio());
    increment(&store).await.expect("no fault is injected yet");
    standin.faults().inject(Operation::Commit, Fault::SlowResponse(Duration::from_secs(2)), 1);
    let (ours, ()) = tokio::join!(increment(&store), async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        for _ in 0..5 {
            increment(&other).await.expect("no fault hits this store");
        }
    });
    assert_eq!(ours.expect("the write is found by reading back"), 2);
    assert_eq!(read_counter(&store).await, 7);
}

#[tokio::test(start_paused = true)]
async fn unresolved_write_is_reported_as_unknown() {
    let (standin, store) = setup();
    increment(&store).await.expect("no fault is injected yet");
    standin.faults().inject(Operation::Commit, Fault::LostResponse, 1);
    let later_calls = FaultTarget {
        operation: Operation::Commit,
        prefix: String::new(),
        skip: 0,
        times: u32::MAX,
    };
    standin.faults().inject_for(later_calls, Fault::Refuse);
    let error = increment(&store).await.expect_err("the store is down");
    assert!(matches!(error.kind(), StoreErrorKind::Unknown(_)), "{error}");
    assert_eq!(error.verdict(), Verdict::MayHaveRun);
}

#[tokio::test(start_paused = true)]
async fn concurrent_writers_lose_no_update() {
    fastrand::seed(6);
    let (standin, _) = setup();
    let mut tasks = Vec::new();
    for _ in 0..8 {
        let store = Store::new(standin.platform(), Clock::tokio());
        tasks.push(tokio::spawn(async move {
            let mut done = 0;
            for _ in 0..20 {
                done += u64::from(increment(&store).await.is_ok());
            }
            done
        }));
    }
    let mut done = 0;
    for task in tasks {
        done += task.await.expect("no writer panics");
    }
    let store = Store::new(standin.platform(), Clock::tokio());
    assert_eq!(read_counter(&store).await, done);
}

#[tokio::test(start_paused = true)]
async fn breaker_fails_fast_while_the_store_hangs() {
    let (standin, store) = setup();
    standin.faults().outage(Fault::Hang);
    for _ in 0..3 {
        let _ = increment(&store).await;
    }
    let started_at = tokio::time::Instant::now();
    let options = store.within(CallClass::Control, Duration::from_millis(50));
    let error = store.read::<u64>(options, "counter").await.expect_err("the store hangs");
    assert_eq!(error.verdict(), Verdict::NotRun);
    assert!(started_at.elapsed() <= Duration::from_millis(60));
}
