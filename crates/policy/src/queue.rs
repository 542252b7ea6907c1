//! The bounded queue in front of a pool: the team with least running for its weight goes first.
//!
//! Each team has its own lines, so a team that sends a hundred times its share fills only its own.
//! When the queue is full, the newest waiter of the team that is furthest over its share is shed,
//! because it has waited least and its team has most to gain from slowing down.

use std::collections::{BTreeMap, VecDeque};

use wasabiswitch_derive::derives;

use crate::ids::TeamId;

/// Which work goes first within a team's share.
#[derives(value)]
pub enum Urgency {
    /// Someone waits for the answer.
    Urgent,
    /// It may wait, but must finish.
    Deferrable,
}

#[derives(record)]
struct TeamLine<K> {
    weight: u32,
    urgent: VecDeque<K>,
    deferrable: VecDeque<K>,
}

impl<K> TeamLine<K> {
    fn len(&self) -> usize {
        self.urgent.len() + self.deferrable.len()
    }

    fn waiting_of(&self, urgency: Urgency) -> usize {
        match urgency {
            Urgency::Urgent => self.urgent.len(),
            Urgency::Deferrable => self.deferrable.len(),
        }
    }

    fn line(&mut self, urgency: Urgency) -> &mut VecDeque<K> {
        match urgency {
            Urgency::Urgent => &mut self.urgent,
            Urgency::Deferrable => &mut self.deferrable,
        }
    }
}

/// What became of a waiter that was offered to a queue.
#[derives(value)]
pub enum OfferOutcome<K> {
    /// It waits.
    Queued,
    /// It waits, and `0` was shed to make room.
    QueuedInPlaceOf(K),
    /// It was refused itself.
    Refused,
}

/// A queue of waiters of several teams.
#[derives(record)]
pub struct FairQueue<K> {
    teams: BTreeMap<TeamId, TeamLine<K>>,
    // The teams with waiters, the one that was served longest ago first.
    round: VecDeque<TeamId>,
    waiting: usize,
    waiting_max: usize,
}

impl<K: Copy + PartialEq> FairQueue<K> {
    /// Creates an empty queue that holds at most `waiting_max` waiters.
    pub fn new(waiting_max: usize) -> FairQueue<K> {
        FairQueue { teams: BTreeMap::new(), round: VecDeque::new(), waiting: 0, waiting_max }
    }

    /// Returns the number of waiters.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Reports whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns the number of waiters of one team.
    pub fn team_len(&self, team: &str) -> usize {
        self.teams.get(team).map_or(0, TeamLine::len)
    }

    /// Adds a waiter, or sheds one if the queue is full.
    pub fn offer(
        &mut self,
        team: &TeamId,
        weight: u32,
        urgency: Urgency,
        handle: K,
    ) -> OfferOutcome<K> {
        let mut shed = None;
        if self.waiting >= self.waiting_max {
            let over = self.most_over_share(team, weight);
            if over == *team {
                return OfferOutcome::Refused;
            }
            shed = self.shed_newest(&over);
            if shed.is_none() {
                return OfferOutcome::Refused;
            }
        }
        self.push(team, weight, urgency, handle);
        shed.map_or(OfferOutcome::Queued, OfferOutcome::QueuedInPlaceOf)
    }

    fn push(&mut self, team: &TeamId, weight: u32, urgency: Urgency, handle: K) {
        let line = self.teams.entry(team.clone()).or_insert_with(|| TeamLine {
            weight,
            urgent: VecDeque::new(),
            deferrable: VecDeque::new(),
        });
        line.weight = weight;
        if line.len() == 0 {
            self.round.push_back(team.clone());
        }
        line.line(urgency).push_back(handle);
        self.waiting += 1;
    }

    /// Returns the team with the most waiters per weight, counting one more for `team`.
    fn most_over_share(&self, team: &TeamId, weight: u32) -> TeamId {
        let own = self.team_len(team) + 1;
        let mut worst = (team.clone(), own as u64, u64::from(weight.max(1)));
        for (name, line) in &self.teams {
            let length = line.len() as u64;
            let line_weight = u64::from(line.weight.max(1));
            if name != team && length * worst.2 > worst.1 * line_weight {
                worst = (name.clone(), length, line_weight);
            }
        }
        worst.0
    }

    fn shed_newest(&mut self, team: &TeamId) -> Option<K> {
        let line = self.teams.get_mut(team)?;
        let handle = line.deferrable.pop_back().or_else(|| line.urgent.pop_back())?;
        self.waiting -= 1;
        self.forget_if_empty(team);
        Some(handle)
    }

    /// Takes the next waiter, urgent before deferrable, of the team that has least running for its
    /// weight.
    ///
    /// `running` returns how much a team has running, or `None` if it may not run more. A team that is
    /// held back by its limit loses no turn: it is taken as soon as it may run again.
    pub fn take(&mut self, running: impl Fn(&TeamId) -> Option<u32>) -> Option<K> {
        self.take_of(Urgency::Urgent, &running)
            .or_else(|| self.take_of(Urgency::Deferrable, &running))
    }

    fn take_of(
        &mut self,
        urgency: Urgency,
        running: &impl Fn(&TeamId) -> Option<u32>,
    ) -> Option<K> {
        let mut best: Option<(usize, u64, u64)> = None;
        for (position, team) in self.round.iter().enumerate() {
            let Some(line) = self.teams.get(team) else { continue };
            if line.waiting_of(urgency) == 0 {
                continue;
            }
            let Some(running) = running(team) else { continue };
            let (load, weight) = (u64::from(running) + 1, u64::from(line.weight.max(1)));
            // Of equally served teams the one that was served longest ago goes first.
            if best.is_none_or(|(_, least, of)| load * of < least * weight) {
                best = Some((position, load, weight));
            }
        }
        let (position, _, _) = best?;
        let team = self.round.remove(position)?;
        let handle = self.teams.get_mut(&team)?.line(urgency).pop_front()?;
        self.waiting -= 1;
        self.round.push_back(team.clone());
        self.forget_if_empty(&team);
        Some(handle)
    }

    /// Removes a waiter that no longer waits; returns whether it was there.
    pub fn remove(&mut self, team: &TeamId, handle: K) -> bool {
        let Some(line) = self.teams.get_mut(team) else { return false };
        let before = line.len();
        line.urgent.retain(|waiter| *waiter != handle);
        line.deferrable.retain(|waiter| *waiter != handle);
        let removed = before - line.len();
        self.waiting -= removed;
        self.forget_if_empty(team);
        removed > 0
    }

    fn forget_if_empty(&mut self, team: &TeamId) {
        if self.teams.get(team).is_some_and(|line| line.len() == 0) {
            self.teams.remove(team);
            self.round.retain(|name| name != team);
        }
    }
}
