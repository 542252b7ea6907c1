//! The record of decisions, from which `wasabictl explain` answers.

use std::collections::VecDeque;
use std::time::Instant;

use wasabiswitch_derive::derives;

/// What a decision is about.
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
    /// A live request.
    Request,
    /// A daemon.
    Daemon,
}

impl Subject {
    /// Returns the name used on the command line.
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

/// One decision and the numbers that it saw.
#[derives(record)]
pub struct Decision {
    /// Counts the decisions of this process.
    pub sequence: u64,
    /// When it was made.
    pub at: Instant,
    /// What it is about.
    pub subject: Subject,
    /// The id of what it is about.
    pub id: String,
    /// What was decided.
    pub action: &'static str,
    /// Why.
    pub reason: String,
    /// The numbers that it saw.
    pub numbers: Vec<(&'static str, i64)>,
}

/// The decisions that are kept in memory.
const KEPT_MAX: usize = 4_096;

/// A bounded ring of decisions.
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

    /// Records a decision.
    pub fn record(
        &mut self,
        at: Instant,
        subject: Subject,
        id: &str,
        action: &'static str,
        reason: impl Into<String>,
        numbers: Vec<(&'static str, i64)>,
    ) {
        if self.ring.len() >= KEPT_MAX {
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

    /// Returns the decisions about one thing, oldest first.
    pub fn about(&self, subject: Subject, id: &str) -> Vec<&Decision> {
        self.ring.iter().filter(|d| d.subject == subject && d.id == id).collect()
    }
}
