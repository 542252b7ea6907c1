//! An advice service that works on one call at a time, in the order of their arrival, also on those whose callers have gone.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use wasabiswitch_policy::fleet::advice::TicketGrant;
use wasabiswitch_policy::ids::InstanceId;

/// Number of calls that may wait; the service refuses further ones.
pub const WAITING_MAX: usize = 32;

/// Number of a call, in the order of their arrival.
pub type AdviceCallId = u64;

/// The queue of an advice service; the caller passes the time.
#[derive(Clone, Debug)]
pub struct AdviceQueue {
    /// Time that each call takes.
    pub decide_time: Duration,
    /// Time that a call takes for each worker that it names.
    pub worker_time: Duration,
    /// Time for which tickets are valid.
    pub ticket_validity: Duration,
    /// Whether the service has stopped to work on calls; it still accepts them.
    pub is_stalled: bool,
    waiting: VecDeque<(AdviceCallId, Vec<InstanceId>)>,
    /// Call that the service works on, with the time at which it is answered.
    current: Option<(AdviceCallId, Vec<InstanceId>, Instant)>,
    answers: BTreeMap<AdviceCallId, Vec<TicketGrant>>,
    arrived: AdviceCallId,
    /// Highest number of calls that were with the service at once.
    pub most_calls: usize,
}

impl AdviceQueue {
    /// Creates a service without calls.
    pub fn new(
        decide_time: Duration,
        worker_time: Duration,
        ticket_validity: Duration,
    ) -> AdviceQueue {
        AdviceQueue {
            decide_time,
            worker_time,
            ticket_validity,
            is_stalled: false,
            waiting: VecDeque::new(),
            current: None,
            answers: BTreeMap::new(),
            arrived: 0,
            most_calls: 0,
        }
    }

    /// Adds a call; `None` if too many are waiting.
    pub fn arrive(&mut self, workers: Vec<InstanceId>, now: Instant) -> Option<AdviceCallId> {
        self.advance(now);
        if self.waiting.len() >= WAITING_MAX {
            return None;
        }
        self.arrived += 1;
        self.waiting.push_back((self.arrived, workers));
        self.most_calls =
            self.most_calls.max(self.waiting.len() + usize::from(self.current.is_some()));
        self.advance(now);
        Some(self.arrived)
    }

    /// Returns the grants of a call that has been answered by `now`: all workers that it names.
    pub fn take_answer(&mut self, call: AdviceCallId, now: Instant) -> Option<Vec<TicketGrant>> {
        self.advance(now);
        self.answers.remove(&call)
    }

    fn advance(&mut self, now: Instant) {
        if self.is_stalled {
            return;
        }
        let mut free_from = now;
        loop {
            if let Some((call, workers, until)) = self.current.take() {
                if until > now {
                    self.current = Some((call, workers, until));
                    return;
                }
                free_from = until;
                let grant = |id: InstanceId| (id.clone(), format!("ticket-{id}"));
                self.answers.insert(call, workers.into_iter().map(grant).collect());
            }
            let Some((call, workers)) = self.waiting.pop_front() else { return };
            let until = free_from + self.decide_time + self.worker_time * workers.len() as u32;
            self.current = Some((call, workers, until));
        }
    }
}
