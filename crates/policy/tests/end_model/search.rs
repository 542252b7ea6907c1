//! Breadth-first search over all interleavings of the steps of a [`World`].

use std::collections::HashSet;

use crate::world::{Action, World};

/// Result of a search.
pub enum Outcome {
    /// No interleaving breaks a rule.
    Exhausted {
        /// Number of different states.
        states: usize,
    },
    /// A shortest sequence of steps that breaks a rule.
    Violation {
        /// Steps from the initial state.
        steps: Vec<Action>,
        /// Rule that the last step breaks.
        violation: String,
    },
}

/// A step of the search, from which the sequence of steps to a state is rebuilt.
struct Step {
    previous: Option<usize>,
    action: Action,
}

/// Tries all sequences of at most `depth` steps from `initial`.
pub fn search(initial: World, depth: usize) -> Outcome {
    let mut seen = HashSet::from([initial.digest()]);
    let mut steps: Vec<Step> = Vec::new();
    let mut frontier: Vec<(World, Option<usize>)> = vec![(initial, None)];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (world, previous) in frontier {
            for action in world.actions() {
                let mut successor = world.clone();
                successor.step(&action);
                if !seen.insert(successor.digest()) {
                    continue;
                }
                steps.push(Step { previous, action });
                let index = steps.len() - 1;
                if let Some(violation) = successor.violation.clone() {
                    return Outcome::Violation { steps: path(&steps, index), violation };
                }
                next.push((successor, Some(index)));
            }
        }
        frontier = next;
    }
    Outcome::Exhausted { states: seen.len() }
}

fn path(steps: &[Step], last: usize) -> Vec<Action> {
    let mut path = Vec::new();
    let mut at = Some(last);
    while let Some(index) = at {
        path.push(steps[index].action.clone());
        at = steps[index].previous;
    }
    path.reverse();
    path
}
