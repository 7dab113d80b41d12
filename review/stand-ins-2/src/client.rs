//! A client of the proxy.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::common::line_reader::LineReader;

const LONGEST_WAIT: Duration = Duration::from_secs(8);
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub id: String,
    pub sent: Instant,
    pub answered: Instant,
    pub rows: Vec<String>,
    /// The `COMPLETE` or `ERROR` line.
    pub result: String,
    pub state: String,
}

impl Answer {
    pub fn is_success(&self) -> bool {
        self.result.starts_with("COMPLETE")
    }
}

pub struct Client {
    lines: LineReader<OwnedReadHalf>,
    write: OwnedWriteHalf,
}

impl Client {
    /// Opens a session on `database`.
    pub async fn open(address: SocketAddr, database: &str) -> Option<Client> {
        let opening = async {
            let (read, mut write) = TcpStream::connect(address).await.ok()?.into_split();
            write
                .write_all(format!("STARTUP {database} u3f1\r\n").as_bytes())
                .await
                .ok()?;
            let mut lines = LineReader::new(read);
            let line = lines.next_line().await.ok()??;
            line.starts_with("READY").then_some(Client { lines, write })
        };
        tokio::time::timeout(LONGEST_WAIT, opening).await.ok()?
    }

    /// Sends a statement and reads its whole answer; none if the connection ends first.
    pub async fn query(&mut self, text: &str) -> Option<Answer> {
        let id = format!(
            "{:016x}",
            0x5c0e_0000_0000_0000 + NEXT_ID.fetch_add(1, Ordering::Relaxed)
        );
        let sent = Instant::now();
        let asking = async {
            self.write
                .write_all(format!("QUERY {id} {text}\r\n").as_bytes())
                .await
                .ok()?;
            let (mut rows, mut result) = (Vec::new(), String::new());
            loop {
                let line = self.lines.next_line().await.ok()??;
                if let Some(row) = line.strip_prefix("ROW ") {
                    rows.push(row.to_owned());
                } else if let Some(ready) = line.strip_prefix("READY ") {
                    let state = ready.split(' ').next().unwrap_or("").to_owned();
                    let answered = Instant::now();
                    return Some(Answer {
                        id,
                        sent,
                        answered,
                        rows,
                        result,
                        state,
                    });
                } else {
                    result = line;
                }
            }
        };
        tokio::time::timeout(LONGEST_WAIT, asking).await.ok()?
    }
}
