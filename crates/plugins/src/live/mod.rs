//! Serves live requests: admission, idempotency, forwarding with retries, and the verdict.
//!
//! Each step is one function: `request::accept` validates the request, the limits plug-in admits
//! it, `idempotency` claims its idempotency key, and `forward` sends it and retries it where that
//! is safe. If the caller disconnects, the request continues in a task of its own, so that work
//! that counts towards a limit or must be recorded runs to completion. See docs/DESIGN.md, "A live
//! request".

mod connection;
mod forward;
mod idempotency;
mod relay;
mod request;
mod spawn_on_drop;
mod upstream;

use std::sync::Arc;

use http::Response;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::http::Body;
use wasabiswitch_kernel::http::entry::EntryRequest;
use wasabiswitch_kernel::http::problem::Problem;
use wasabiswitch_kernel::plugin::{Plugin, Registration};
use wasabiswitch_policy::Verdict;

use crate::report::{Outcome, record_outcome};
use crate::route::entry;
use request::{LiveRequest, accept};
use spawn_on_drop::SpawnOnDrop;

pub use idempotency::{IDEMPOTENCY_PREFIX, idempotency_row_key};
pub use request::DEADLINE_HEADER;

fn plugin() -> Plugin {
    Plugin {
        entry_routes: vec![entry(None, "/s/", serve)],
        ..Plugin::new("live", &["limits", "pools", "report"])
    }
}

inventory::submit! { Registration(plugin) }

/// The response to a live request and its verdict, or the problem that the caller gets instead.
pub(crate) type LiveResult = Result<(Response<Body>, Verdict), Problem>;

async fn serve(kernel: Arc<Kernel>, request: EntryRequest) -> Response<Body> {
    let started_at = kernel.clock.now();
    let request = match accept(&kernel, request) {
        Ok(request) => request,
        Err(problem) => return problem.into_response(),
    };
    let (service, team) = (request.service.clone(), request.team.clone());
    let task_kernel = kernel.clone();
    let result = SpawnOnDrop::new(&kernel, async move { run(&task_kernel, request).await }).await;
    let (verdict, good) = match &result {
        Ok((response, verdict)) => (*verdict, !response.status().is_server_error()),
        Err(problem) => (problem.verdict, problem.status().is_client_error()),
    };
    record_outcome(&kernel, &team, &service, Outcome { verdict, good, started_at });
    result.map_or_else(Problem::into_response, |(response, _)| response)
}

async fn run(kernel: &Arc<Kernel>, request: LiveRequest) -> LiveResult {
    if request.idempotency_key.is_some() {
        return idempotency::run(kernel, request).await;
    }
    let permit = crate::limits::admit(kernel, &request.admission_request()).await?;
    forward::run(kernel, request, permit).await
}
