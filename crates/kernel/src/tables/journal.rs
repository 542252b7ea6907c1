//! Journal of recent decisions, which `wasabictl explain` prints.

use std::collections::VecDeque;
use std::time::Instant;

use wasabiswitch_derive::derives;

/// Kind of the object that a decision concerns.
#[derives(value)]
pub enum Subject {
    /// An instance.
    Instance,
    /// A job.
    Job,
    /// A team.
    Team,
    /// A maintenance wave.
    Wave,
    /// A request on the entry listener.
    Request,
    /// A daemon.
    Daemon,
}

impl Subject {
    /// Returns the name that the command line uses.
    pub fn as_str(self) -> &'static str {
        match self {
            Subject::Instance => "instance",
            Subject::Job => "job",
            Subject::Team => "team",
            Subject::Wave => "wave",
            Subject::Request => "request",
            Subject::Daemon => "daemon",
        }
    }
}

/// Decision with its reason and its inputs.
#[derives(record)]
pub struct Decision {
    /// Number of the decision in this process, from zero.
    pub sequence: u64,
    /// Time of the decision.
    pub at: Instant,
    /// Kind of the object.
    pub subject: Subject,
    /// Id of the object.
    pub id: String,
    /// Name of the action that was chosen.
    pub action: &'static str,
    /// Reason, for operators.
    pub reason: String,
    /// Numbers on which the decision was based, by name.
    pub numbers: Vec<(&'static str, i64)>,
}

/// Maximum number of decisions in memory.
const DECISIONS_MAX: usize = 4_096;

/// Bounded journal, which drops its oldest decision when it is full.
#[derives(record)]
#[derive(Default)]
pub struct Journal {
    ring: VecDeque<Decision>,
    next_sequence: u64,
}

impl Journal {
    /// Creates an empty journal.
    pub fn new() -> Journal {
        Journal::default()
    }

    /// Appends a decision made at time `at`.
    pub fn record(
        &mut self,
        at: Instant,
        subject: Subject,
        id: &str,
        action: &'static str,
        reason: impl Into<String>,
        numbers: Vec<(&'static str, i64)>,
    ) {
        if self.ring.len() >= DECISIONS_MAX {
            self.ring.pop_front();
        }
        self.ring.push_back(Decision {
            sequence: self.next_sequence,
            at,
            subject,
            id: id.to_owned(),
            action,
            reason: reason.into(),
            numbers,
        });
        self.next_sequence += 1;
    }

    /// Returns the decisions about one object, oldest first.
    pub fn decisions_about(&self, subject: Subject, id: &str) -> Vec<&Decision> {
        self.ring.iter().filter(|d| d.subject == subject && d.id == id).collect()
    }
}
