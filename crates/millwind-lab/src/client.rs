//! Database client that connects through a node and tracks its session token.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite};
use tokio_postgres::{AsyncMessage, Client, Config, Connection, NoTls};

const SESSION_PARAMETER: &str = "millwind.session";

/// Last session token that the node reported; clones share the token.
#[derive(Debug, Clone, Default)]
pub struct SessionTokenTracker {
    token: Arc<Mutex<Option<String>>>,
}

impl SessionTokenTracker {
    /// Returns the token, or none if none was reported.
    pub fn get(&self) -> Option<String> {
        self.token.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Polls `connection` and stores a newly reported token. The lock is held during the
    /// poll because a response may wake the waiting task on another thread before the token
    /// that follows the response is processed.
    fn update<S, T>(
        &self,
        connection: &mut Connection<S, T>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<AsyncMessage, tokio_postgres::Error>>>
    where
        S: AsyncRead + AsyncWrite + Unpin,
        T: AsyncRead + AsyncWrite + Unpin,
    {
        let mut held = self.token.lock().unwrap_or_else(PoisonError::into_inner);
        let polled = connection.poll_message(context);
        if let Some(token) = connection.parameter(SESSION_PARAMETER)
            && held.as_deref() != Some(token)
        {
            *held = Some(token.to_owned());
        }
        polled
    }
}

/// Connects to a node as a tenant, optionally with the token of an earlier session.
pub async fn connect(
    address: SocketAddr,
    tenant: &str,
    token: Option<&str>,
) -> Result<(Client, SessionTokenTracker), tokio_postgres::Error> {
    let mut config = Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("caller")
        .dbname(tenant)
        .connect_timeout(std::time::Duration::from_secs(3));
    if let Some(token) = token {
        config.options(format!("-c millwind.session={token}"));
    }
    let (client, mut connection) = config.connect(NoTls).await?;
    let cell = SessionTokenTracker::default();
    let token_cell = cell.clone();
    tokio::spawn(async move {
        loop {
            let polled = futures::future::poll_fn(|context| token_cell.update(&mut connection, context));
            match polled.await {
                Some(Ok(_)) => {}
                Some(Err(_)) | None => return,
            }
        }
    });
    Ok((client, cell))
}
