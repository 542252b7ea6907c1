//! Weighted max-min sharing of slots between teams, and of a team's slots between daemons.
//!
//! When demand exceeds capacity, each claim gets slots in proportion to its weight, but never more
//! than it asks for or may have; what one claim leaves is shared by the others. Slots are whole, and
//! the remainder goes to the claims that are furthest below their exact share, so that the result
//! is within one slot of it. See docs/DESIGN.md, "Shares".

use wasabiswitch_derive::derives;

/// What one claimant asks for.
#[derives(value)]
pub struct Claim {
    /// The weight relative to the other claims; zero gets nothing.
    pub weight: u32,
    /// The slots it could use now.
    pub demand_slots: u32,
    /// The most slots it may have.
    pub limit_slots: u32,
}

impl Claim {
    fn wanted_slots(&self) -> u32 {
        if self.weight == 0 { 0 } else { self.demand_slots.min(self.limit_slots) }
    }
}

/// Returns the slots of each claim, in the order of `claims`; their sum is at most `capacity_slots`.
///
/// Sorts by wanted slots per weight and fills from the lowest, which takes `n log n` steps.
pub fn max_min(claims: &[Claim], capacity_slots: u32) -> Vec<u32> {
    let wanted: u64 = claims.iter().map(|claim| u64::from(claim.wanted_slots())).sum();
    if wanted <= u64::from(capacity_slots) {
        return claims.iter().map(Claim::wanted_slots).collect();
    }
    let mut order: Vec<usize> = (0..claims.len()).filter(|&i| claims[i].weight > 0).collect();
    order.sort_by(|&a, &b| {
        let left = u64::from(claims[a].wanted_slots()) * u64::from(claims[b].weight);
        let right = u64::from(claims[b].wanted_slots()) * u64::from(claims[a].weight);
        left.cmp(&right).then(a.cmp(&b))
    });
    let mut given = vec![0; claims.len()];
    let mut rest_slots = u64::from(capacity_slots);
    let mut rest_weight: u64 = order.iter().map(|&i| u64::from(claims[i].weight)).sum();
    for (position, &index) in order.iter().enumerate() {
        let claim = &claims[index];
        let weight = u64::from(claim.weight);
        // The first claim that the level cannot satisfy is followed only by such claims.
        if u64::from(claim.wanted_slots()) * rest_weight > rest_slots * weight {
            share_by_weight(claims, &order[position..], rest_slots, rest_weight, &mut given);
            return given;
        }
        given[index] = claim.wanted_slots();
        rest_slots -= u64::from(claim.wanted_slots());
        rest_weight -= weight;
    }
    given
}

/// Divides `slots` by weight among `members`, each of which wants at least its exact share.
fn share_by_weight(
    claims: &[Claim],
    members: &[usize],
    slots: u64,
    weight_sum: u64,
    given: &mut [u32],
) {
    let mut left_slots = slots;
    let mut remainders: Vec<(u64, usize)> = Vec::with_capacity(members.len());
    for &index in members {
        let exact = slots * u64::from(claims[index].weight);
        given[index] = (exact / weight_sum) as u32;
        left_slots -= u64::from(given[index]);
        remainders.push((exact % weight_sum, index));
    }
    remainders.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
    for &(_, index) in remainders.iter().take(left_slots as usize) {
        given[index] += 1;
    }
}

/// The demand of one team, split by daemon.
#[derives(record)]
pub struct TeamDemand {
    /// The team's weight.
    pub weight: u32,
    /// The team's limit across the fleet, in slots.
    pub limit_slots: u32,
    /// The slots that the team could use through each daemon.
    pub by_daemon_slots: Vec<u32>,
}

/// Returns how many of the fleet's slots the daemon at index `daemon` may use.
///
/// The slots go to teams first and then, for each team, to the daemons that have its work, so that a
/// team whose work enters through one daemon gets the same share as a team whose work is spread.
/// Slots that no demand claims are split evenly, so that new work finds room before the next exchange.
pub fn daemon_portion(teams: &[TeamDemand], daemon: usize, daemons: usize, slots: u32) -> u32 {
    let claims: Vec<Claim> = teams
        .iter()
        .map(|team| Claim {
            weight: team.weight,
            demand_slots: team.by_daemon_slots.iter().sum(),
            limit_slots: team.limit_slots,
        })
        .collect();
    let by_team = max_min(&claims, slots);
    let claimed: u32 = by_team.iter().sum();
    let own: u32 = teams
        .iter()
        .zip(&by_team)
        .map(|(team, &team_slots)| split_by_daemon(team, team_slots)[daemon])
        .sum();
    own + even_part(slots - claimed, daemon, daemons)
}

fn split_by_daemon(team: &TeamDemand, team_slots: u32) -> Vec<u32> {
    let claims: Vec<Claim> = team
        .by_daemon_slots
        .iter()
        .map(|&demand_slots| Claim { weight: 1, demand_slots, limit_slots: team_slots })
        .collect();
    max_min(&claims, team_slots)
}

/// Returns the part of `slots` that falls to the daemon at index `daemon`.
pub fn even_part(slots: u32, daemon: usize, daemons: usize) -> u32 {
    let daemons = daemons.max(1) as u32;
    slots / daemons + u32::from((daemon as u32) < slots % daemons)
}
