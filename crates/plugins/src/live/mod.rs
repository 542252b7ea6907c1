//! Serves live requests: admits, routes, forwards, retries, and answers with a true verdict.
//!
//! The path of a request is one function a step: `request::accept` checks it, the limits plug-in
//! admits it, `once` claims its idempotency key, and `forward` sends it, again if that is safe. All
//! of it goes on in a task of its own if the caller goes away, so that work which counts for a limit or
//! must be recorded comes to its end. See docs/DESIGN.md, "A live request".

mod connection;
mod detached;
mod forward;
mod once;
mod relay;
mod request;
mod upstream;

use std::sync::Arc;

use http::Response;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::http::Body;
use wasabiswitch_kernel::http::entry::EntryRequest;
use wasabiswitch_kernel::http::problem::Problem;
use wasabiswitch_kernel::plugin::{Plugin, Registration};
use wasabiswitch_policy::Verdict;

use crate::report::{Outcome, note_outcome};
use crate::route::entry;
use detached::Detached;
use request::{Live, accept};

pub use once::{ONCE_PREFIX, once_key};
pub use request::DEADLINE_HEADER;

fn plugin() -> Plugin {
    Plugin {
        entry_routes: vec![entry(None, "/s/", serve)],
        ..Plugin::new("live", &["limits", "pools", "report"])
    }
}

inventory::submit! { Registration(plugin) }

/// An answer and what it says of the request.
pub(crate) type Answer = Result<(Response<Body>, Verdict), Problem>;

async fn serve(kernel: Arc<Kernel>, request: EntryRequest) -> Response<Body> {
    let started_at = kernel.clock.now();
    let live = match accept(&kernel, request) {
        Ok(live) => live,
        Err(problem) => return problem.into_response(),
    };
    let (service, team) = (live.service.clone(), live.team.clone());
    let task_kernel = kernel.clone();
    let answer = Detached::new(&kernel, async move { run(&task_kernel, live).await }).await;
    let (verdict, good) = match &answer {
        Ok((response, verdict)) => (*verdict, !response.status().is_server_error()),
        Err(problem) => (problem.verdict, problem.status().is_client_error()),
    };
    note_outcome(&kernel, &team, &service, Outcome { verdict, good, started_at });
    answer.map_or_else(Problem::into_response, |(response, _)| response)
}

async fn run(kernel: &Arc<Kernel>, live: Live) -> Answer {
    if live.idempotency_key.is_some() {
        return once::run(kernel, live).await;
    }
    let permit = crate::limits::admit(kernel, &live.admission()).await?;
    forward::run(kernel, live, permit).await
}
