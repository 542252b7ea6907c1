//! Weighted max-min fair shares of slots: among teams, and of a team's slots among daemons.
//!
//! When demand exceeds capacity, each claim gets slots in proportion to its weight, up to its
//! demand and its limit; the slots that a claim leaves unused are divided among the others. Shares
//! are whole numbers: the remainders go to the claims furthest below their exact shares (the
//! largest-remainder method), so that each result is within one slot of the exact share. See
//! docs/DESIGN.md, "Shares".

use wasabiswitch_derive::derives;

/// Claim to a share of the slots.
#[derives(value)]
pub struct Claim {
    /// Weight relative to the other claims; a claim of weight zero gets no slots.
    pub weight: u32,
    /// Number of slots that the claimant could use.
    pub demand_slots: u32,
    /// Maximum number of slots for the claimant.
    pub limit_slots: u32,
}

impl Claim {
    fn wanted_slots(&self) -> u32 {
        if self.weight == 0 { 0 } else { self.demand_slots.min(self.limit_slots) }
    }
}

/// Returns the number of slots for each claim, in the order of `claims`.
///
/// The sum is at most `capacity_slots`. The algorithm sorts the claims by wanted slots per weight
/// and satisfies them from the lowest (water filling), in `O(n log n)` time.
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
    let mut allocated = vec![0; claims.len()];
    let mut remaining_slots = u64::from(capacity_slots);
    let mut remaining_weight: u64 = order.iter().map(|&i| u64::from(claims[i].weight)).sum();
    for (position, &index) in order.iter().enumerate() {
        let claim = &claims[index];
        let weight = u64::from(claim.weight);
        // In this order, no claim after the first unsatisfiable one can be satisfied either.
        if u64::from(claim.wanted_slots()) * remaining_weight > remaining_slots * weight {
            share_by_weight(
                claims,
                &order[position..],
                remaining_slots,
                remaining_weight,
                &mut allocated,
            );
            return allocated;
        }
        allocated[index] = claim.wanted_slots();
        remaining_slots -= u64::from(claim.wanted_slots());
        remaining_weight -= weight;
    }
    allocated
}

/// Divides `slots` by weight among the claims at `members`, which all want at least their exact
/// share.
fn share_by_weight(
    claims: &[Claim],
    members: &[usize],
    slots: u64,
    weight_sum: u64,
    allocated: &mut [u32],
) {
    let mut remaining_slots = slots;
    let mut remainders: Vec<(u64, usize)> = Vec::with_capacity(members.len());
    for &index in members {
        let exact = slots * u64::from(claims[index].weight);
        allocated[index] = (exact / weight_sum) as u32;
        remaining_slots -= u64::from(allocated[index]);
        remainders.push((exact % weight_sum, index));
    }
    remainders.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
    for &(_, index) in remainders.iter().take(remaining_slots as usize) {
        allocated[index] += 1;
    }
}

/// Demand of one team, by daemon.
#[derives(record)]
pub struct TeamDemand {
    /// Weight of the team.
    pub weight: u32,
    /// Limit of the team across the fleet, in slots.
    pub limit_slots: u32,
    /// Number of slots that the team could use through each daemon.
    pub by_daemon_slots: Vec<u32>,
}

/// Returns the number of the fleet's `slots` that the daemon at index `daemon` may use.
///
/// Slots are divided among the teams, and each team's slots among the daemons that have its work,
/// so that a team whose work arrives at one daemon gets the same share as a team whose work is
/// spread over all daemons. Unclaimed slots are divided evenly, so that new work can start before
/// the daemons next exchange their demands.
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
    own + even_share(slots - claimed, daemon, daemons)
}

fn split_by_daemon(team: &TeamDemand, team_slots: u32) -> Vec<u32> {
    let claims: Vec<Claim> = team
        .by_daemon_slots
        .iter()
        .map(|&demand_slots| Claim { weight: 1, demand_slots, limit_slots: team_slots })
        .collect();
    max_min(&claims, team_slots)
}

/// Returns the share of the daemon at index `daemon` in an even division of `slots`.
pub fn even_share(slots: u32, daemon: usize, daemons: usize) -> u32 {
    let daemons = daemons.max(1) as u32;
    slots / daemons + u32::from((daemon as u32) < slots % daemons)
}
