//! HTTP client for the listeners of a daemon.

use std::net::SocketAddr;

use http::Method;
use serde_json::Value;
use wasabiswitch_kernel::http::client::{ClientRequest, HttpClient};
use wasabiswitch_kernel::network::Network;
use wasabiswitch_policy::Verdict;

use crate::Exit;

/// Environment variable that contains the API key.
pub(crate) const KEY_ENV_VAR: &str = "WASABISWITCH_KEY";

/// Error that ends a command, with the exit code of the process.
#[derive(Debug, thiserror::Error)]
#[error("{detail}")]
pub(crate) struct CommandError {
    pub(crate) exit: Exit,
    detail: String,
}

impl CommandError {
    pub(crate) fn new(exit: Exit, detail: impl Into<String>) -> CommandError {
        CommandError { exit, detail: detail.into() }
    }

    pub(crate) fn bad_input(detail: impl Into<String>) -> CommandError {
        CommandError::new(Exit::BadInput, detail)
    }
}

pub(crate) fn exit_for_verdict(verdict: Verdict) -> Exit {
    match verdict {
        Verdict::NotRun => Exit::NotRun,
        Verdict::MayHaveRun | Verdict::Ran => Exit::MayHaveRun,
    }
}

/// Client for one listener of a daemon, with the API key that it sends.
pub(crate) struct DaemonClient {
    address: SocketAddr,
    key: String,
    client: HttpClient,
}

impl DaemonClient {
    pub(crate) fn new(address: SocketAddr) -> DaemonClient {
        let key = std::env::var(KEY_ENV_VAR).unwrap_or_default();
        DaemonClient { address, key, client: HttpClient::new(Network::tcp()) }
    }

    pub(crate) async fn get(&self, path: &str) -> Result<Value, CommandError> {
        self.request_json(Method::GET, path, None).await
    }

    pub(crate) async fn post(&self, path: &str, body: Value) -> Result<Value, CommandError> {
        self.request_json(Method::POST, path, Some(body)).await
    }

    pub(crate) async fn delete(&self, path: &str) -> Result<Value, CommandError> {
        self.request_json(Method::DELETE, path, None).await
    }

    async fn request_json(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<Value, CommandError> {
        let text = self.request_text(method, path, body).await?;
        serde_json::from_str(&text).map_err(|error| {
            CommandError::new(Exit::MayHaveRun, format!("the response is not valid JSON: {error}"))
        })
    }

    pub(crate) async fn request_text(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<String, CommandError> {
        let request = ClientRequest {
            method,
            path,
            authorization: (!self.key.is_empty()).then_some(&*self.key),
            headers: &[],
            body: body.map_or_else(Default::default, |body| body.to_string().into()),
        };
        let response = self.client.send(self.address, request).await.map_err(|error| {
            CommandError::new(exit_for_verdict(error.verdict()), error.to_string())
        })?;
        let text = String::from_utf8_lossy(&response.body).into_owned();
        if response.status.is_success() { Ok(text) } else { Err(parse_problem(&text)) }
    }
}

/// Converts the body of an error response, a problem document, to an error.
///
/// If the body is not a problem document, it is unknown whether the command has run, and the exit code is
/// [`Exit::MayHaveRun`].
fn parse_problem(text: &str) -> CommandError {
    let problem: Value = serde_json::from_str(text).unwrap_or_default();
    let field = |name: &str| problem[name].as_str().unwrap_or_default().to_owned();
    let verdict = Verdict::parse(&field("verdict")).unwrap_or(Verdict::MayHaveRun);
    let detail = format!("{} ({}): {}", field("code"), verdict.as_str(), field("detail"));
    CommandError::new(exit_for_verdict(verdict), detail)
}
