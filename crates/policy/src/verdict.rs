//! Execution verdict of a request, which every error carries.
//!
//! A caller decides from the verdict whether it may send its request again. The verdict is
//! therefore a typed value, set at the layer that knows it and never derived from the text of an
//! error. See docs/DESIGN.md, "Verdicts".

use wasabiswitch_derive::derives;

/// Whether a request has run at an upstream, ordered from not run to run.
#[derives(value)]
pub enum Verdict {
    /// No upstream has run any part of the request, and none will.
    NotRun,
    /// The outcome is unknown: the request may have run, may be running, or may run later.
    MayHaveRun,
    /// An upstream has run the request and sent a response.
    Ran,
}

impl Verdict {
    /// Returns the name used in headers and in problem documents.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }

    /// Parses the name that [`Verdict::as_str`] returns.
    pub fn parse(name: &str) -> Option<Verdict> {
        [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran]
            .into_iter()
            .find(|verdict| verdict.as_str() == name)
    }

    /// Combines the verdicts of two attempts at the same request.
    ///
    /// The combined verdict is [`Verdict::NotRun`] only if neither attempt has run.
    pub fn and(self, other: Verdict) -> Verdict {
        self.max(other)
    }
}
