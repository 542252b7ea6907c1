//! Implementation of the platform's functions over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::FutureExt as _;
use http::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::protocol::ScanBody;
use super::{Platform, PlatformError, PlatformFn, PlatformResult};
use crate::http::client::{ClientError, ClientRequest, HttpClient};

/// Prefix of the paths of objects.
pub const OBJECT_PATH: &str = "/objects/";

/// Returns the functions of the platform at `address`.
pub fn connect(address: SocketAddr, client: HttpClient) -> Platform {
    let endpoint = Endpoint { address, client };
    Platform {
        read: endpoint.call("/table/read", |keys: Vec<String>| keys),
        scan: endpoint.call("/table/scan", |range: super::ScanRange| ScanBody {
            prefix: range.prefix,
            after: range.after,
            rows_max: range.rows_max,
        }),
        commit: endpoint.call("/table/commit", |writes: Vec<super::Write>| writes),
        get_object: endpoint.get_object(),
        put_object: endpoint.put_object(),
        list_instances: endpoint.call("/instances/list", |()| ()),
        sync_worker: endpoint.call("/workers/sync", |(instance, request): (Arc<str>, _)| {
            (instance.to_string(), request)
        }),
        reboot: endpoint.call("/instances/reboot", |instance: Arc<str>| instance.to_string()),
        fleet: None,
    }
}

#[derive(Clone)]
struct Endpoint {
    address: SocketAddr,
    client: HttpClient,
}

impl Endpoint {
    fn call<A, B, T>(
        &self,
        path: &'static str,
        to_body: impl Fn(A) -> B + Send + Sync + 'static,
    ) -> PlatformFn<A, T>
    where
        A: Send + 'static,
        B: Serialize + Send + 'static,
        T: DeserializeOwned + Send + 'static,
    {
        let endpoint = self.clone();
        Arc::new(move |argument| {
            let endpoint = endpoint.clone();
            let body = rmp_serde::to_vec_named(&to_body(argument));
            async move {
                let body = body.map_err(|error| PlatformError::not_run(error.to_string()))?;
                let bytes = endpoint.send(Method::POST, path, body.into()).await?;
                let bytes = bytes.ok_or_else(|| PlatformError::not_run("the path is unknown"))?;
                rmp_serde::from_slice(&bytes)
                    .map_err(|error| PlatformError::may_have_run(error.to_string()))
            }
            .boxed()
        })
    }

    fn get_object(&self) -> PlatformFn<String, Option<Bytes>> {
        let endpoint = self.clone();
        Arc::new(move |name| {
            let endpoint = endpoint.clone();
            async move {
                let path = format!("{OBJECT_PATH}{name}");
                endpoint.send(Method::GET, &path, Bytes::new()).await
            }
            .boxed()
        })
    }

    fn put_object(&self) -> PlatformFn<(String, Bytes), ()> {
        let endpoint = self.clone();
        Arc::new(move |(name, body)| {
            let endpoint = endpoint.clone();
            async move {
                let path = format!("{OBJECT_PATH}{name}");
                endpoint.send(Method::PUT, &path, body).await.map(drop)
            }
            .boxed()
        })
    }

    /// Sends a request and returns the body of the response, or `None` for "not found".
    async fn send(&self, method: Method, path: &str, body: Bytes) -> PlatformResult<Option<Bytes>> {
        let request = ClientRequest { method, path, authorization: None, headers: &[], body };
        let response = self.client.send(self.address, request).await.map_err(platform_error)?;
        match response.status {
            StatusCode::OK => Ok(Some(response.body)),
            StatusCode::NOT_FOUND => Ok(None),
            // The platform responds with 503 only if the request has taken no effect.
            StatusCode::SERVICE_UNAVAILABLE => Err(PlatformError::not_run("the platform refused")),
            status => Err(PlatformError::may_have_run(format!("the platform answered {status}"))),
        }
    }
}

fn platform_error(error: ClientError) -> PlatformError {
    PlatformError { verdict: error.verdict(), detail: error.to_string() }
}
