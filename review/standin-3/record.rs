//! The record of a case: what was sent, answered and run, with the time since the start.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::Write as _;
use std::sync::Mutex;
use std::time::Instant;

use crate::workers::Start;

pub struct Record {
    pub began: Instant,
    file: Mutex<File>,
    starts: Mutex<Vec<Start>>,
    /// Tasks and attempts whose ends were taken note of.
    noted: Mutex<BTreeSet<(String, u32)>>,
    /// Whether each start has a line of its own.
    pub writes_starts: bool,
}

impl Record {
    pub fn new(path: &str, writes_starts: bool) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record {
            began: Instant::now(),
            file: Mutex::new(file),
            starts: Mutex::default(),
            noted: Mutex::default(),
            writes_starts,
        }
    }

    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.began).as_millis()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.began.elapsed().as_millis());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn start(&self, start: Start) {
        if self.writes_starts {
            self.line(&format!(
                "worker {} starts {} attempt {} checkpoint '{}'",
                start.worker, start.task, start.attempt, start.checkpoint
            ));
        }
        self.starts.lock().unwrap().push(start);
    }

    pub fn note_end(&self, task: String, attempt: u32) {
        self.noted.lock().unwrap().insert((task, attempt));
    }

    pub fn is_noted(&self, task: &str, attempt: u32) -> bool {
        self.noted.lock().unwrap().contains(&(task.to_owned(), attempt))
    }

    pub fn starts(&self) -> Vec<Start> {
        self.starts.lock().unwrap().clone()
    }
}
