//! HTTP client of a node's administration.

use std::net::SocketAddr;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use millwind_node::admin::ErrorBody;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The node cannot be reached or broke off.
    #[error("node {0}: {1}")]
    Transport(SocketAddr, String),
    /// The node refused.
    #[error("{0}")]
    Refused(String),
    /// Somebody else changed the document first.
    #[error("{0}")]
    Conflict(String),
    /// The change may or may not be stored.
    #[error("{0}")]
    Unknown(String),
    /// A file cannot be used.
    #[error("{0}: {1}")]
    File(String, String),
}

/// A node's administration.
#[derive(Debug)]
pub struct Admin {
    address: SocketAddr,
}

impl Admin {
    /// The administration at this address.
    pub fn new(address: SocketAddr) -> Self {
        Admin { address }
    }

    fn transport(&self, error: impl std::fmt::Display) -> ClientError {
        ClientError::Transport(self.address, error.to_string())
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Response<Incoming>, ClientError> {
        let client: Client<HttpConnector, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| self.transport(error))?;
        let response = client
            .request(request)
            .await
            .map_err(|error| self.transport(error))?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status();
        let bytes = self.body(response).await?;
        Err(refusal(status, &bytes))
    }

    async fn body(&self, response: Response<Incoming>) -> Result<Bytes, ClientError> {
        let collected = response.into_body().collect().await;
        Ok(collected.map_err(|error| self.transport(error))?.to_bytes())
    }

    /// Reads JSON.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let response = self.call(Method::GET, path, Vec::new()).await?;
        let bytes = self.body(response).await?;
        serde_json::from_slice(&bytes).map_err(|error| self.transport(error))
    }

    /// Sends a request without a body.
    pub async fn post(&self, path: &str) -> Result<(), ClientError> {
        self.call(Method::POST, path, Vec::new()).await?;
        Ok(())
    }

    /// Stores JSON and reads JSON.
    pub async fn put<T: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<R, ClientError> {
        self.exchange(Method::PUT, path, body).await
    }

    /// Posts JSON and reads JSON.
    pub async fn post_json<T: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<R, ClientError> {
        self.exchange(Method::POST, path, body).await
    }

    async fn exchange<T: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &T,
    ) -> Result<R, ClientError> {
        let bytes = serde_json::to_vec(body).map_err(|error| self.transport(error))?;
        let response = self.call(method, path, bytes).await?;
        let answer = self.body(response).await?;
        serde_json::from_slice(&answer).map_err(|error| self.transport(error))
    }

    /// Prints lines as they come.
    pub async fn stream(&self, path: &str) -> Result<(), ClientError> {
        let response = self.call(Method::GET, path, Vec::new()).await?;
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| self.transport(error))?;
            if let Some(data) = frame.data_ref() {
                print!("{}", String::from_utf8_lossy(data));
            }
        }
        Ok(())
    }
}

fn refusal(status: StatusCode, bytes: &[u8]) -> ClientError {
    let Ok(body) = serde_json::from_slice::<ErrorBody>(bytes) else {
        return ClientError::Refused(format!("{status}: {}", String::from_utf8_lossy(bytes)));
    };
    match status {
        StatusCode::CONFLICT => ClientError::Conflict(format!(
            "{}\n--- stored now (revision {})\n{}\n--- yours\n{}",
            body.error,
            body.current_revision.unwrap_or(0),
            body.current.unwrap_or_default().trim_end(),
            body.wanted.unwrap_or_default().trim_end()
        )),
        StatusCode::GATEWAY_TIMEOUT => ClientError::Unknown(body.error),
        _ => ClientError::Refused(body.error),
    }
}
