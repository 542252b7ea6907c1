//! Serves live requests: admits, routes, forwards, retries, and answers with a true verdict.
//!
//! The path of a request is one function a step: [`request::accept`] checks it, the limits plug-in
//! admits it, [`once`] claims its idempotency key, and [`forward`] sends it, again if that is safe. The
//! forwarding runs in a task of its own, so that a caller who goes away does not end work that counts
//! for a limit or must be recorded. See docs/DESIGN.md, "A live request".

mod connection;
mod forward;
mod once;
mod relay;
mod request;
mod upstream;

use std::sync::Arc;

use http::Response;
use tokio::sync::oneshot;
use wasabiswitch_kernel::http::Body;
use wasabiswitch_kernel::http::entry::EntryRequest;
use wasabiswitch_kernel::http::problem::{INTERNAL, Problem};
use wasabiswitch_kernel::plugin::{Plugin, Registration};
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::Verdict;

use crate::report::note_outcome;
use crate::route::entry;
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
    let (service, team) = (live.service_id.clone(), live.team.clone());
    let answer = run_in_own_task(&kernel, live).await;
    let now = kernel.clock.now();
    let (verdict, good) = match &answer {
        Ok((response, verdict)) => (*verdict, !response.status().is_server_error()),
        Err(problem) => (problem.verdict, problem.status().is_client_error()),
    };
    note_outcome(&kernel, &team, &service, good, now);
    metrics::counter!(
        metric::REQUESTS,
        "service" => service.to_string(),
        "verdict" => verdict.as_str()
    )
    .increment(1);
    let seconds = now.saturating_duration_since(started_at).as_secs_f64();
    metrics::histogram!(metric::REQUEST_SECONDS, "service" => service.to_string()).record(seconds);
    answer.map_or_else(Problem::into_response, |(response, _)| response)
}

/// Runs a request to its end even if its caller goes away.
async fn run_in_own_task(kernel: &Arc<Kernel>, live: Live) -> Answer {
    let (sender, receiver) = oneshot::channel();
    let task_kernel = kernel.clone();
    kernel.request_tasks.spawn("live request", async move {
        let answer = run(&task_kernel, live).await;
        let _ = sender.send(answer);
    });
    receiver.await.unwrap_or_else(|_| {
        let detail = "the request ended without an outcome";
        Err(Problem::with_verdict(INTERNAL, Verdict::MayHaveRun, detail))
    })
}

async fn run(kernel: &Arc<Kernel>, live: Live) -> Answer {
    if live.idempotency_key.is_some() {
        return once::run(kernel, live).await;
    }
    let permit = crate::limits::admit(kernel, &live.admission()).await?;
    forward::run(kernel, live, permit).await
}
