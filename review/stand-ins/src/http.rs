//! A small HTTP/1.1 server: one thread for each connection, which stays open between calls.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time for which a connection whose answer is lost stays open.
const SILENCE: Duration = Duration::from_secs(20);

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: String,
    /// The caller's end of the connection.
    pub peer: SocketAddr,
}

pub struct Response {
    /// Number of times that the store came back from a copy.
    pub era: u32,
    pub status: u16,
    pub body: String,
}

impl Response {
    /// Says that the answer is lost: the connection says nothing more.
    pub fn lost() -> Response {
        Response {
            era: 0,
            status: 0,
            body: String::new(),
        }
    }
}

type Handler = dyn Fn(&Request) -> Response + Send + Sync;

/// Serves `handler` on a free port of `ip` and returns the address.
pub fn serve(ip: &str, handler: Arc<Handler>) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let peer = stream.peer_addr().ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_request(&mut reader, peer)?;
        let response = handler(&request);
        if response.status == 0 {
            thread::sleep(SILENCE);
            return None;
        }
        let head = format!(
            "HTTP/1.1 {} Status\r\ncontent-type: application/json\r\nstore-era: {}\r\ncontent-length: {}\r\n\r\n",
            response.status,
            response.era,
            response.body.len()
        );
        writer.write_all((head + &response.body).as_bytes()).ok()?;
    }
}

fn read_request(reader: &mut BufReader<TcpStream>, peer: SocketAddr) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = BTreeMap::new();
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        let header = header.trim_end();
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers
        .get("content-length")
        .and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        method,
        path: path.to_owned(),
        query: pairs
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect(),
        headers,
        body: String::from_utf8(body).ok()?,
        peer,
    })
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let digits: String = rest.by_ref().take(2).map(char::from).collect();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
