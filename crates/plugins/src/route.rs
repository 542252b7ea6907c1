//! Constructors for the routes of plug-ins, and helpers for their handlers.

use std::future::Future;
use std::sync::Arc;

use futures_util::FutureExt as _;
use http::{Method, Response};
use serde::de::DeserializeOwned;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::http::Body;
use wasabiswitch_kernel::http::control::{Access, ControlRequest, ControlResult, ControlRoute};
use wasabiswitch_kernel::http::entry::{EntryRequest, EntryRoute};
use wasabiswitch_kernel::http::problem::{BAD_REQUEST, INTERNAL, Problem, STORE_DOWN};
use wasabiswitch_kernel::store::{StoreError, StoreErrorKind};

/// Returns a route of the control listener that is handled by an async function.
pub(crate) fn control<F>(
    method: Method,
    path: &'static str,
    access: Access,
    handler: fn(Arc<Kernel>, ControlRequest) -> F,
) -> ControlRoute
where
    F: Future<Output = ControlResult> + Send + 'static,
{
    let handler = Arc::new(move |kernel, request| handler(kernel, request).boxed());
    ControlRoute { method, path, access, handler }
}

/// Returns a route of the entry listener that is handled by an async function.
pub(crate) fn entry<F>(
    method: Option<Method>,
    prefix: &'static str,
    handler: fn(Arc<Kernel>, EntryRequest) -> F,
) -> EntryRoute
where
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let handler = Arc::new(move |kernel, request| handler(kernel, request).boxed());
    EntryRoute { method, prefix, handler }
}

/// Parses a JSON body.
pub(crate) fn json_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, Problem> {
    serde_json::from_slice(body)
        .map_err(|error| Problem::not_run(BAD_REQUEST, format!("the body: {error}")))
}

/// Returns the problem to report when a call to the table service failed.
pub(crate) fn store_problem(error: &StoreError) -> Problem {
    let code = match error.kind() {
        StoreErrorKind::Damaged { .. } => INTERNAL,
        _ => STORE_DOWN,
    };
    Problem::with_verdict(code, error.verdict(), error.to_string())
}
