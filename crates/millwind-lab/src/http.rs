//! HTTP client for the control APIs of simulators and the admin API of nodes.

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

const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Error of an HTTP request.
#[derive(Debug, Error)]
pub enum HttpError {
    /// Request was not sent, or no complete and valid response arrived.
    #[error("{0}")]
    Transport(String),
    /// Response with a status other than success.
    #[error("HTTP status {status}: {body}")]
    Status {
        /// HTTP status code.
        status: u16,
        /// Response body as text.
        body: String,
    },
}

fn transport_error(error: impl std::fmt::Display) -> HttpError {
    HttpError::Transport(error.to_string())
}

async fn send_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> Result<Bytes, HttpError> {
    let client: Client<HttpConnector, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(transport_error)?;
    let exchange = async {
        let response = client.request(request).await.map_err(transport_error)?;
        let status = response.status();
        let bytes = response
            .into_body()
            .collect()
            .await
            .map_err(transport_error)?
            .to_bytes();
        if status.is_success() {
            return Ok(bytes);
        }
        Err(HttpError::Status {
            status: status.as_u16(),
            body: String::from_utf8_lossy(&bytes).into_owned(),
        })
    };
    tokio::time::timeout(REQUEST_TIMEOUT, exchange)
        .await
        .map_err(|_| HttpError::Transport("request timed out".into()))?
}

/// Sends a GET request; returns the decoded JSON response.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, HttpError> {
    let bytes = send_request(Method::GET, address, path, Vec::new()).await?;
    serde_json::from_slice(&bytes).map_err(transport_error)
}

/// Sends a GET request; returns the response as text.
pub async fn get_text(address: SocketAddr, path: &str) -> Result<String, HttpError> {
    let bytes = send_request(Method::GET, address, path, Vec::new()).await?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Sends a POST request with a JSON body; ignores the response body.
pub async fn post<T: Serialize>(address: SocketAddr, path: &str, body: &T) -> Result<(), HttpError> {
    let bytes = serde_json::to_vec(body).map_err(transport_error)?;
    send_request(Method::POST, address, path, bytes).await?;
    Ok(())
}

/// Sends a PUT request with a JSON body; returns the decoded JSON response.
pub async fn put<T: Serialize, R: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    body: &T,
) -> Result<R, HttpError> {
    let bytes = serde_json::to_vec(body).map_err(transport_error)?;
    let response = send_request(Method::PUT, address, path, bytes).await?;
    serde_json::from_slice(&response).map_err(transport_error)
}
