//! An owner on a link that carries fewer starts than are waiting: a load above the link's rate, then half of it.
//!
//! The link sends messages in the order in which they were queued. A start whose answer comes after its timeout is fenced
//! by a stop and started again. The naive version sends every waiting start at once.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use wasabiswitch_policy::fleet::pressure::StartWindow;

/// Messages that the link sends per second.
const LINK_MESSAGES_PER_S: u64 = 250;
/// Time after which a start without an answer is fenced by a stop.
const START_TIMEOUT: Duration = Duration::from_millis(300);
/// Length of a step of the simulation.
const STEP: Duration = Duration::from_millis(4);

/// A message in the owner's queue for the link.
enum Message {
    Start { planned: Instant },
    Stop,
}

/// Starts that were answered in time, by second.
fn answered_by_second(phases: &[(u64, u64)], window: Option<StartWindow>) -> Vec<u64> {
    let origin = Instant::now();
    let mut now = origin;
    let mut window = window;
    let mut link: VecDeque<Message> = VecDeque::new();
    // Starts whose answer is overdue are started again, so they wait as new ones do.
    let (mut waiting, mut under_way, mut arrivals, mut capacity) = (0.0, 0usize, 0.0, 0.0);
    let mut answered = Vec::new();
    for (starts_per_s, seconds) in phases {
        for _ in 0..*seconds {
            let end = now + Duration::from_secs(1);
            let mut in_time = 0;
            while now < end {
                now += STEP;
                arrivals += *starts_per_s as f64 * STEP.as_secs_f64();
                waiting += f64::floor(arrivals);
                arrivals -= f64::floor(arrivals);
                let limit = window.as_ref().and_then(StartWindow::limit).unwrap_or(usize::MAX);
                while waiting >= 1.0 && under_way < limit {
                    waiting -= 1.0;
                    under_way += 1;
                    link.push_back(Message::Start { planned: now });
                }
                capacity += LINK_MESSAGES_PER_S as f64 * STEP.as_secs_f64();
                while capacity >= 1.0 {
                    capacity -= 1.0;
                    match link.pop_front() {
                        None => capacity = 0.0,
                        Some(Message::Stop) => {}
                        Some(Message::Start { planned }) => {
                            under_way -= 1;
                            let took = now - planned;
                            if let Some(window) = &mut window {
                                window.record_answer(took, now);
                            }
                            if took <= START_TIMEOUT {
                                in_time += 1;
                            } else {
                                waiting += 1.0;
                                link.push_back(Message::Stop);
                            }
                        }
                    }
                }
            }
            answered.push(in_time);
        }
    }
    answered
}

// The owner's link filled with starts that were answered too late, their stops and further starts, and stayed full after the load
// had gone.
#[test]
fn throughput_is_back_within_three_seconds_after_an_overload() {
    let load = [(500, 5), (125, 6)];
    let bounded = answered_by_second(&load, Some(StartWindow::default()));
    assert!(bounded[2..5].iter().all(|count| *count >= 200), "under overload: {bounded:?}");
    assert!(bounded[8..].iter().all(|count| *count >= 125), "after it: {bounded:?}");
    let naive = answered_by_second(&load, None);
    assert!(naive[8..].iter().all(|count| *count < 10), "the naive version recovers: {naive:?}");
}

#[test]
fn starts_are_bounded_only_while_answers_are_late() {
    let mut window = StartWindow::default();
    let mut now = Instant::now();
    window.record_answer(Duration::from_millis(5), now);
    assert_eq!(window.limit(), None);
    window.record_answer(Duration::from_millis(250), now);
    let first = window.limit().expect("the answer was late");
    now += Duration::from_millis(500);
    window.record_answer(Duration::from_millis(250), now);
    assert!(window.limit().is_some_and(|limit| limit < first));
    for _ in 0..10_000 {
        window.record_answer(Duration::from_millis(5), now);
    }
    assert_eq!(window.limit(), None);
}

#[test]
fn answers_that_are_late_together_shrink_the_window_once() {
    let mut window = StartWindow::default();
    let now = Instant::now();
    window.record_answer(Duration::from_millis(250), now);
    let first = window.limit();
    for _ in 0..50 {
        window.record_answer(Duration::from_millis(250), now);
    }
    assert_eq!(window.limit(), first);
}
