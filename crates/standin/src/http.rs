//! The platform's HTTP interface, served by a stand-in on a loopback socket.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Method, StatusCode};
use poem::endpoint::make;
use poem::listener::TcpAcceptor;
use poem::{EndpointExt as _, Route, RouteMethod, Server};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use wasabiswitch_kernel::platform::protocol::ScanBody;
use wasabiswitch_kernel::platform::{
    Platform, PlatformError, PlatformFn, PlatformResult, ScanRange, SyncRequest,
};
use wasabiswitch_policy::Verdict;

use crate::StandIn;

/// Time that a graceful shutdown waits for calls in progress.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves the platform's interface until `stop` is cancelled.
pub async fn serve(
    standin: StandIn,
    listener: TcpListener,
    stop: CancellationToken,
) -> std::io::Result<()> {
    let acceptor = TcpAcceptor::from_tokio(listener)?;
    Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(routes(standin), stop.cancelled_owned(), Some(STOP_TIMEOUT))
        .await
}

fn routes(standin: StandIn) -> Route {
    let Platform {
        read,
        scan,
        commit,
        get_object,
        put_object,
        list_instances,
        sync_worker,
        reboot,
        fleet: _,
    } = standin.platform();
    let scan_body: PlatformFn<ScanBody, _> = Arc::new(move |body| {
        scan(ScanRange { prefix: body.prefix, after: body.after, rows_max: body.rows_max })
    });
    let sync: PlatformFn<(String, SyncRequest), _> =
        Arc::new(move |(instance, request)| sync_worker((instance.into(), request)));
    let reboot_named: PlatformFn<String, ()> = Arc::new(move |instance| reboot(instance.into()));
    Route::new()
        .at("/table/read", post(read))
        .at("/table/scan", post(scan_body))
        .at("/table/commit", post(commit))
        .at("/instances/list", post(list_instances))
        .at("/instances/reboot", post(reboot_named))
        .at("/workers/sync", post(sync))
        .at("/objects/*name", objects(get_object, put_object))
}

fn post<A, T>(function: PlatformFn<A, T>) -> RouteMethod
where
    A: DeserializeOwned + Send + 'static,
    T: Serialize + Send + 'static,
{
    let endpoint = make(move |mut request: poem::Request| {
        let function = function.clone();
        async move {
            let body = request.take_body().into_bytes().await.unwrap_or_default();
            match rmp_serde::from_slice::<A>(&body) {
                Ok(argument) => encode(function(argument).await),
                Err(_) => poem::Response::builder().status(StatusCode::BAD_REQUEST).finish(),
            }
        }
    });
    RouteMethod::new().method(Method::POST, endpoint.boxed())
}

fn objects(
    get: PlatformFn<String, Option<Bytes>>,
    put: PlatformFn<(String, Bytes), ()>,
) -> RouteMethod {
    let name_of =
        |request: &poem::Request| request.raw_path_param("name").unwrap_or_default().to_owned();
    let read = make(move |request: poem::Request| {
        let object: BoxFuture<'static, _> = get(name_of(&request));
        async move {
            match object.await {
                Ok(Some(body)) => poem::Response::builder().body(body),
                Ok(None) => poem::Response::builder().status(StatusCode::NOT_FOUND).finish(),
                Err(error) => error_response(&error),
            }
        }
    });
    let write = make(move |mut request: poem::Request| {
        let (put, name) = (put.clone(), name_of(&request));
        async move {
            let body = request.take_body().into_bytes().await.unwrap_or_default();
            encode(put((name, body)).await)
        }
    });
    RouteMethod::new().method(Method::GET, read.boxed()).method(Method::PUT, write.boxed())
}

fn encode<T: Serialize>(result: PlatformResult<T>) -> poem::Response {
    match result {
        Ok(value) => {
            let body = rmp_serde::to_vec_named(&value).unwrap_or_default();
            poem::Response::builder().body(body)
        }
        Err(error) => error_response(&error),
    }
}

/// Returns status 503 for a call that did not run, and 500 for one that may have run, since a 500 leaves open whether
/// the call took effect.
fn error_response(error: &PlatformError) -> poem::Response {
    let status = match error.verdict {
        Verdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        Verdict::MayHaveRun | Verdict::Ran => StatusCode::INTERNAL_SERVER_ERROR,
    };
    poem::Response::builder().status(status).body(error.detail.clone())
}
