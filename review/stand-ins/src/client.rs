//! A client session on a proxy.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::record::Record;
use crate::session::read_line;

#[derive(Debug, Clone)]
pub struct Answer {
    #[allow(dead_code, reason = "shown in the record")]
    pub row_count: usize,
    /// The signature, or code and text of the error.
    pub result: Result<String, String>,
    pub state: String,
}

pub struct Client {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
    record: Option<Arc<Record>>,
}

/// Returns an id that no other statement has.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("q{:06}", NEXT.fetch_add(1, Ordering::Relaxed))
}

impl Client {
    /// Opens a session; `record` takes what is sent and answered.
    pub fn open(proxy: SocketAddr, database: &str, record: Option<Arc<Record>>) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&proxy, Duration::from_secs(2)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(12))).ok()?;
        let mut client = Client {
            reader: BufReader::new(stream.try_clone().ok()?),
            writer: stream,
            record,
        };
        client.send(&format!("STARTUP {database} u1"))?;
        let line = read_line(&mut client.reader)?;
        line.starts_with("READY").then_some(client)
    }

    fn send(&mut self, message: &str) -> Option<()> {
        self.writer.write_all(format!("{message}\r\n").as_bytes()).ok()
    }

    /// Sends one statement and reads its answer; none if the connection breaks.
    pub fn query(&mut self, id: &str, text: &str) -> Option<Answer> {
        if let Some(record) = &self.record {
            record.line(&format!("client sends id={id} text={text:?}"));
        }
        let answer = self
            .send(&format!("QUERY {id} {text}"))
            .and_then(|()| self.read_answer());
        if let Some(record) = &self.record {
            record.line(&format!("client answered id={id} {answer:?}"));
        }
        answer
    }

    pub fn read_answer(&mut self) -> Option<Answer> {
        let mut row_count = 0;
        let mut result = Ok(String::new());
        loop {
            let line = read_line(&mut self.reader)?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => row_count += 1,
                "COMPLETE" => result = Ok(rest.to_owned()),
                "ERROR" => result = Err(rest.to_owned()),
                "READY" => {
                    let state = rest.split(' ').next().unwrap_or("").to_owned();
                    return Some(Answer {
                        row_count,
                        result,
                        state,
                    });
                }
                _ => return None,
            }
        }
    }
}
