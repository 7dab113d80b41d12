//! Small HTTP client for the control of stand-ins and nodes.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Why a call failed.
#[derive(Debug, Error)]
pub enum HttpError {
    /// No whole answer.
    #[error("{0}")]
    Transport(String),
    /// An answer other than success.
    #[error("status {status}: {body}")]
    Status {
        /// Status code.
        status: u16,
        /// Body as text.
        body: String,
    },
}

fn transport(error: impl std::fmt::Display) -> HttpError {
    HttpError::Transport(error.to_string())
}

async fn call(method: Method, address: SocketAddr, path: &str, body: Vec<u8>) -> Result<Bytes, HttpError> {
    let client: Client<HttpConnector, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(transport)?;
    let exchange = async {
        let response = client.request(request).await.map_err(transport)?;
        let status = response.status();
        let bytes = response
            .into_body()
            .collect()
            .await
            .map_err(transport)?
            .to_bytes();
        if status.is_success() {
            return Ok(bytes);
        }
        Err(HttpError::Status {
            status: status.as_u16(),
            body: String::from_utf8_lossy(&bytes).into_owned(),
        })
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange)
        .await
        .map_err(|_| HttpError::Transport("timed out".into()))?
}

/// Reads JSON.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, HttpError> {
    let bytes = call(Method::GET, address, path, Vec::new()).await?;
    serde_json::from_slice(&bytes).map_err(transport)
}

/// Reads text.
pub async fn get_text(address: SocketAddr, path: &str) -> Result<String, HttpError> {
    let bytes = call(Method::GET, address, path, Vec::new()).await?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Sends JSON; the answer's body is dropped.
pub async fn post<T: Serialize>(address: SocketAddr, path: &str, body: &T) -> Result<(), HttpError> {
    let bytes = serde_json::to_vec(body).map_err(transport)?;
    call(Method::POST, address, path, bytes).await?;
    Ok(())
}

/// Sends JSON and reads JSON.
pub async fn put<T: Serialize, R: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    body: &T,
) -> Result<R, HttpError> {
    let bytes = serde_json::to_vec(body).map_err(transport)?;
    let answer = call(Method::PUT, address, path, bytes).await?;
    serde_json::from_slice(&answer).map_err(transport)
}
