//! Calls to a daemon.

use std::net::SocketAddr;

use http::Method;
use serde_json::Value;
use wasabiswitch_kernel::http::client::{ClientRequest, HttpClient};
use wasabiswitch_kernel::network::Network;
use wasabiswitch_policy::Verdict;

use crate::Exit;

/// The environment variable that holds the key.
pub(crate) const KEY_VARIABLE: &str = "WASABISWITCH_KEY";

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
#[error("{detail}")]
pub(crate) struct Failure {
    pub(crate) exit: Exit,
    detail: String,
}

impl Failure {
    pub(crate) fn new(exit: Exit, detail: impl Into<String>) -> Failure {
        Failure { exit, detail: detail.into() }
    }

    pub(crate) fn bad_input(detail: impl Into<String>) -> Failure {
        Failure::new(Exit::BadInput, detail)
    }
}

fn exit_of(verdict: Verdict) -> Exit {
    match verdict {
        Verdict::NotRun => Exit::NotRun,
        Verdict::MayHaveRun | Verdict::Ran => Exit::MayHaveRun,
    }
}

/// A daemon's listener and the key to present there.
pub(crate) struct Daemon {
    address: SocketAddr,
    key: String,
    client: HttpClient,
}

impl Daemon {
    pub(crate) fn new(address: SocketAddr) -> Daemon {
        let key = std::env::var(KEY_VARIABLE).unwrap_or_default();
        Daemon { address, key, client: HttpClient::new(Network::tcp()) }
    }

    pub(crate) async fn get(&self, path: &str) -> Result<Value, Failure> {
        self.json(Method::GET, path, None).await
    }

    pub(crate) async fn post(&self, path: &str, body: Value) -> Result<Value, Failure> {
        self.json(Method::POST, path, Some(body)).await
    }

    pub(crate) async fn delete(&self, path: &str) -> Result<Value, Failure> {
        self.json(Method::DELETE, path, None).await
    }

    async fn json(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<Value, Failure> {
        let text = self.text(method, path, body).await?;
        serde_json::from_str(&text).map_err(|error| {
            Failure::new(Exit::MayHaveRun, format!("the answer is no JSON: {error}"))
        })
    }

    pub(crate) async fn text(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<String, Failure> {
        let outgoing = ClientRequest {
            method,
            path,
            authorization: (!self.key.is_empty()).then_some(&*self.key),
            headers: &[],
            body: body.map_or_else(Default::default, |body| body.to_string().into()),
        };
        let answer = self
            .client
            .send(self.address, outgoing)
            .await
            .map_err(|error| Failure::new(exit_of(error.verdict()), error.to_string()))?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        if answer.status.is_success() { Ok(text) } else { Err(from_problem(&text)) }
    }
}

/// Reads a problem document; an answer that is none says nothing of what has run.
fn from_problem(text: &str) -> Failure {
    let problem: Value = serde_json::from_str(text).unwrap_or_default();
    let field = |name: &str| problem[name].as_str().unwrap_or_default().to_owned();
    let verdict = Verdict::parse(&field("verdict")).unwrap_or(Verdict::MayHaveRun);
    let detail = format!("{} ({}): {}", field("code"), verdict.as_str(), field("detail"));
    Failure::new(exit_of(verdict), detail)
}
