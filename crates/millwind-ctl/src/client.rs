//! HTTP client for the administration interface of a node.

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
    /// The node is unreachable, or communication with it failed.
    #[error("node {0}: {1}")]
    Transport(SocketAddr, String),
    /// The node refused the request.
    #[error("{0}")]
    Refused(String),
    /// The document was changed concurrently.
    #[error("{0}")]
    Conflict(String),
    /// The change may or may not be stored.
    #[error("{0}")]
    Unknown(String),
    /// A file cannot be read or is invalid.
    #[error("{0}: {1}")]
    File(String, String),
}

/// Client of the administration interface of one node.
#[derive(Debug)]
pub struct Admin {
    address: SocketAddr,
}

impl Admin {
    /// Creates a client for the node at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Admin { address }
    }

    fn transport(&self, error: impl std::fmt::Display) -> ClientError {
        ClientError::Transport(self.address, error.to_string())
    }

    /// Sends a request. Fails if the response status is no success.
    async fn send(
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
        let bytes = self.read_body(response).await?;
        Err(response_error(status, &bytes))
    }

    async fn read_body(&self, response: Response<Incoming>) -> Result<Bytes, ClientError> {
        let collected = response.into_body().collect().await;
        Ok(collected.map_err(|error| self.transport(error))?.to_bytes())
    }

    /// Sends a GET request and parses the JSON response.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let response = self.send(Method::GET, path, Vec::new()).await?;
        let bytes = self.read_body(response).await?;
        serde_json::from_slice(&bytes).map_err(|error| self.transport(error))
    }

    /// Sends a POST request without a body.
    pub async fn post(&self, path: &str) -> Result<(), ClientError> {
        self.send(Method::POST, path, Vec::new()).await?;
        Ok(())
    }

    /// Sends a PUT request with a JSON body and parses the JSON response.
    pub async fn put<T: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<R, ClientError> {
        self.send_json(Method::PUT, path, body).await
    }

    /// Sends a POST request with a JSON body and parses the JSON response.
    pub async fn post_json<T: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<R, ClientError> {
        self.send_json(Method::POST, path, body).await
    }

    async fn send_json<T: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &T,
    ) -> Result<R, ClientError> {
        let bytes = serde_json::to_vec(body).map_err(|error| self.transport(error))?;
        let response = self.send(method, path, bytes).await?;
        let answer = self.read_body(response).await?;
        serde_json::from_slice(&answer).map_err(|error| self.transport(error))
    }

    /// Prints the response body as it arrives.
    pub async fn stream(&self, path: &str) -> Result<(), ClientError> {
        let response = self.send(Method::GET, path, Vec::new()).await?;
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

/// Converts an error response to a [`ClientError`].
fn response_error(status: StatusCode, bytes: &[u8]) -> ClientError {
    let Ok(body) = serde_json::from_slice::<ErrorBody>(bytes) else {
        return ClientError::Refused(format!("{status}: {}", String::from_utf8_lossy(bytes)));
    };
    match status {
        StatusCode::CONFLICT => ClientError::Conflict(format!(
            "{}\n--- stored (revision {})\n{}\n--- yours\n{}",
            body.error,
            body.current_revision.unwrap_or(0),
            body.current.unwrap_or_default().trim_end(),
            body.wanted.unwrap_or_default().trim_end()
        )),
        StatusCode::GATEWAY_TIMEOUT => ClientError::Unknown(body.error),
        _ => ClientError::Refused(body.error),
    }
}
