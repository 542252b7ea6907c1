//! Bounded fair queue in front of a pool; the team with the least running work per weight is next.
//!
//! Each team has its own sub-queues, so a team that sends a hundred times its share delays only
//! itself. When the queue is full, the newest waiter of the team with the most waiters per weight
//! is shed, a deferrable one before an urgent one: it has waited least, and back-pressure reaches
//! the team that causes the overload.

use std::collections::{BTreeMap, VecDeque};

use wasabiswitch_derive::derives;

use crate::ids::TeamId;

/// Priority of work within a team's share.
#[derives(value)]
pub enum Urgency {
    /// A caller waits for the response.
    Urgent,
    /// The work may wait, but must finish.
    Deferrable,
}

#[derives(record)]
struct TeamQueue<K> {
    weight: u32,
    urgent: VecDeque<K>,
    deferrable: VecDeque<K>,
}

impl<K> TeamQueue<K> {
    fn len(&self) -> usize {
        self.urgent.len() + self.deferrable.len()
    }

    fn len_of(&self, urgency: Urgency) -> usize {
        match urgency {
            Urgency::Urgent => self.urgent.len(),
            Urgency::Deferrable => self.deferrable.len(),
        }
    }

    fn queue_mut(&mut self, urgency: Urgency) -> &mut VecDeque<K> {
        match urgency {
            Urgency::Urgent => &mut self.urgent,
            Urgency::Deferrable => &mut self.deferrable,
        }
    }
}

/// Outcome of offering a waiter to a queue.
#[derives(value)]
pub enum OfferOutcome<K> {
    /// The waiter was queued.
    Queued,
    /// The waiter was queued, and this other one was shed in its place.
    QueuedInPlaceOf(K),
    /// The waiter was refused.
    Refused,
}

/// Fair queue of the waiters of several teams.
#[derives(record)]
pub struct FairQueue<K> {
    teams: BTreeMap<TeamId, TeamQueue<K>>,
    // Teams with waiters, the least recently served first.
    turn_order: VecDeque<TeamId>,
    waiting: usize,
    waiting_max: usize,
}

impl<K: Copy + PartialEq> FairQueue<K> {
    /// Creates an empty queue that holds at most `waiting_max` waiters.
    pub fn new(waiting_max: usize) -> FairQueue<K> {
        FairQueue { teams: BTreeMap::new(), turn_order: VecDeque::new(), waiting: 0, waiting_max }
    }

    /// Returns the number of waiters.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether the queue has no waiters.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns the number of waiters of one team.
    pub fn team_len(&self, team: &str) -> usize {
        self.teams.get(team).map_or(0, TeamQueue::len)
    }

    /// Queues a waiter; a full queue sheds the waiter of another team or refuses this one.
    pub fn offer(
        &mut self,
        team: &TeamId,
        weight: u32,
        urgency: Urgency,
        handle: K,
    ) -> OfferOutcome<K> {
        let mut shed = None;
        if self.waiting >= self.waiting_max {
            let shed_team = self.most_backlogged_team(team, weight);
            if shed_team == *team {
                return OfferOutcome::Refused;
            }
            shed = self.shed_newest(&shed_team);
            if shed.is_none() {
                return OfferOutcome::Refused;
            }
        }
        self.push(team, weight, urgency, handle);
        shed.map_or(OfferOutcome::Queued, OfferOutcome::QueuedInPlaceOf)
    }

    fn push(&mut self, team: &TeamId, weight: u32, urgency: Urgency, handle: K) {
        let queue = self.teams.entry(team.clone()).or_insert_with(|| TeamQueue {
            weight,
            urgent: VecDeque::new(),
            deferrable: VecDeque::new(),
        });
        queue.weight = weight;
        if queue.len() == 0 {
            self.turn_order.push_back(team.clone());
        }
        queue.queue_mut(urgency).push_back(handle);
        self.waiting += 1;
    }

    /// Returns the team with the most waiters per weight, counting one additional waiter of `team`.
    fn most_backlogged_team(&self, team: &TeamId, weight: u32) -> TeamId {
        let own = self.team_len(team) + 1;
        let mut worst = (team.clone(), own as u64, u64::from(weight.max(1)));
        for (name, queue) in &self.teams {
            let length = queue.len() as u64;
            let queue_weight = u64::from(queue.weight.max(1));
            if name != team && length * worst.2 > worst.1 * queue_weight {
                worst = (name.clone(), length, queue_weight);
            }
        }
        worst.0
    }

    fn shed_newest(&mut self, team: &TeamId) -> Option<K> {
        let queue = self.teams.get_mut(team)?;
        let handle = queue.deferrable.pop_back().or_else(|| queue.urgent.pop_back())?;
        self.waiting -= 1;
        self.remove_if_empty(team);
        Some(handle)
    }

    /// Removes and returns the next waiter: urgent work first, of the team with the least running
    /// work per weight.
    ///
    /// `running` returns the amount of work that a team has running, or `None` if the team is at
    /// its limit. A team at its limit keeps its place in the order of turns, so that it is served
    /// as soon as it may run again.
    pub fn take(&mut self, running: impl Fn(&TeamId) -> Option<u32>) -> Option<K> {
        self.take_with_urgency(Urgency::Urgent, &running)
            .or_else(|| self.take_with_urgency(Urgency::Deferrable, &running))
    }

    fn take_with_urgency(
        &mut self,
        urgency: Urgency,
        running: &impl Fn(&TeamId) -> Option<u32>,
    ) -> Option<K> {
        let mut best: Option<(usize, u64, u64)> = None;
        for (position, team) in self.turn_order.iter().enumerate() {
            let Some(queue) = self.teams.get(team) else { continue };
            if queue.len_of(urgency) == 0 {
                continue;
            }
            let Some(running) = running(team) else { continue };
            let (load, weight) = (u64::from(running) + 1, u64::from(queue.weight.max(1)));
            // Ties go to the least recently served team.
            if best
                .is_none_or(|(_, best_load, best_weight)| load * best_weight < best_load * weight)
            {
                best = Some((position, load, weight));
            }
        }
        let (position, _, _) = best?;
        let team = self.turn_order.remove(position)?;
        let handle = self.teams.get_mut(&team)?.queue_mut(urgency).pop_front()?;
        self.waiting -= 1;
        self.turn_order.push_back(team.clone());
        self.remove_if_empty(&team);
        Some(handle)
    }

    /// Removes a waiter that has given up; returns whether it was queued.
    pub fn remove(&mut self, team: &TeamId, handle: K) -> bool {
        let Some(queue) = self.teams.get_mut(team) else { return false };
        let before = queue.len();
        queue.urgent.retain(|waiter| *waiter != handle);
        queue.deferrable.retain(|waiter| *waiter != handle);
        let removed = before - queue.len();
        self.waiting -= removed;
        self.remove_if_empty(team);
        removed > 0
    }

    fn remove_if_empty(&mut self, team: &TeamId) {
        if self.teams.get(team).is_some_and(|queue| queue.len() == 0) {
            self.teams.remove(team);
            self.turn_order.retain(|name| name != team);
        }
    }
}
