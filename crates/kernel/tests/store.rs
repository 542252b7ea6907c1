//! Conditional writes whose answers are lost, delayed and doubled, against a counter that sees all.

use std::time::Duration;

use wasabiswitch_kernel::clock::Clock;
use wasabiswitch_kernel::store::{CallClass, Change, Store, StoreError, StoreErrorKind};
use wasabiswitch_policy::Verdict;
use wasabiswitch_standin::{Calls, Fault, Operation, StandIn};

fn world() -> (StandIn, Store) {
    let standin = StandIn::new(Clock::tokio());
    let store = Store::new(standin.platform(), Clock::tokio());
    (standin, store)
}

async fn add_one(store: &Store) -> Result<u64, StoreError> {
    let options = store.within(CallClass::Control, Duration::from_secs(5));
    let count = |row: Option<&u64>| {
        let next = row.copied().unwrap_or(0) + 1;
        Change::Write(next, next)
    };
    store.mutate(options, "counter", count).await
}

async fn count(store: &Store) -> u64 {
    let options = store.within(CallClass::Control, Duration::from_secs(5));
    let row = store.read::<u64>(options, "counter").await.expect("the store answers");
    row.map_or(0, |row| row.value)
}

#[tokio::test(start_paused = true)]
async fn a_write_counts_once_whatever_becomes_of_its_answer() {
    fastrand::seed(5);
    let faults = [
        Fault::Refuse,
        Fault::Hang,
        Fault::Slow(Duration::from_secs(1)),
        Fault::EffectThenSlow(Duration::from_secs(1)),
        Fault::EffectWithoutAnswer,
        Fault::Twice,
    ];
    for fault in faults {
        for times in 1..=3 {
            let (standin, store) = world();
            add_one(&store).await.expect("nothing fails yet");
            standin.faults().inject(Operation::Commit, fault, times);
            let outcome = add_one(&store).await;
            standin.faults().clear();
            tokio::time::sleep(Duration::from_secs(10)).await;
            let counted = count(&store).await;
            match outcome {
                Ok(value) => assert_eq!((value, counted), (2, 2), "{fault:?} x {times}"),
                Err(error) if error.verdict() == Verdict::NotRun => {
                    assert_eq!(counted, 1, "{fault:?} x {times}: {error}");
                }
                Err(error) => assert!(counted <= 2, "{fault:?} x {times}: {error}"),
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_resolved_although_others_have_written_since() {
    let (standin, store) = world();
    let other = Store::new(standin.platform(), Clock::tokio());
    add_one(&store).await.expect("nothing fails yet");
    standin.faults().inject(Operation::Commit, Fault::EffectThenSlow(Duration::from_secs(2)), 1);
    let (ours, ()) = tokio::join!(add_one(&store), async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        for _ in 0..5 {
            add_one(&other).await.expect("nothing fails here");
        }
    });
    assert_eq!(ours.expect("it was read back"), 2);
    assert_eq!(count(&store).await, 7);
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_cannot_be_found_out_is_called_unknown() {
    let (standin, store) = world();
    add_one(&store).await.expect("nothing fails yet");
    standin.faults().inject(Operation::Commit, Fault::EffectWithoutAnswer, 1);
    let later =
        Calls { operation: Operation::Commit, prefix: String::new(), skip: 0, times: u32::MAX };
    standin.faults().inject_at(later, Fault::Refuse);
    let error = add_one(&store).await.expect_err("the store is down");
    assert!(matches!(error.kind(), StoreErrorKind::Unknown(_)), "{error}");
    assert_eq!(error.verdict(), Verdict::MayHaveRun);
}

#[tokio::test(start_paused = true)]
async fn racing_writers_lose_nothing() {
    fastrand::seed(6);
    let (standin, _) = world();
    let mut tasks = Vec::new();
    for _ in 0..8 {
        let store = Store::new(standin.platform(), Clock::tokio());
        tasks.push(tokio::spawn(async move {
            let mut done = 0;
            for _ in 0..20 {
                done += u64::from(add_one(&store).await.is_ok());
            }
            done
        }));
    }
    let mut done = 0;
    for task in tasks {
        done += task.await.expect("no writer panics");
    }
    let store = Store::new(standin.platform(), Clock::tokio());
    assert_eq!(count(&store).await, done);
}

#[tokio::test(start_paused = true)]
async fn a_slow_store_becomes_a_quick_refusal() {
    let (standin, store) = world();
    standin.faults().outage(Fault::Hang);
    for _ in 0..3 {
        let _ = add_one(&store).await;
    }
    let begin = tokio::time::Instant::now();
    let options = store.within(CallClass::Control, Duration::from_millis(50));
    let error = store.read::<u64>(options, "counter").await.expect_err("the store hangs");
    assert_eq!(error.verdict(), Verdict::NotRun);
    assert!(begin.elapsed() <= Duration::from_millis(60));
}
