//! One batch of a caller's messages: a simple query, or extended-protocol
//! messages up to `Sync`.
//!
//! Prepared statements live in the gateway. Back-end connections are shared,
//! so each batch parses the statements it uses under the unnamed statement,
//! and the parse confirmations that the caller did not ask for are dropped.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::BytesMut;
use millwind_core::classify::{Classified, StatementKind, classify};
use pgwire::error::PgWireError;
use pgwire::messages::extendedquery::Parse;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};

use crate::pg::{established_context, put_backend, put_frontend};

const TARGET_STATEMENT: u8 = b'S';

/// A statement the caller has prepared.
#[derive(Debug, Clone)]
pub struct Prepared {
    query: String,
    type_oids: Vec<u32>,
    classified: Arc<Classified>,
}

/// A caller's prepared statements by name; the unnamed one under "".
pub type PreparedStatements = HashMap<String, Prepared>;

/// A batch, ready to be sent to a back end.
#[derive(Debug, Default)]
pub struct Batch {
    /// Encoded frontend messages.
    pub bytes: BytesMut,
    /// What the statements in it do.
    pub classified: Arc<Classified>,
    /// Whether anything in it is executed, not only described.
    pub executes: bool,
    /// True for the simple protocol.
    pub simple: bool,
    /// Messages of an extended batch, for answers made by the proxy itself.
    pub messages: Vec<PgWireFrontendMessage>,
    /// For each parse confirmation in the answer, whether the caller asked.
    wanted_parses: Vec<bool>,
}

/// Why a batch cannot be carried.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// It names a statement that was never prepared.
    #[error("prepared statement {0:?} does not exist")]
    UnknownStatement(String),
    /// A message that pooling cannot carry.
    #[error("{0} messages are not carried")]
    Message(&'static str),
    /// The library cannot encode it.
    #[error("encoding: {0}")]
    Encode(#[from] PgWireError),
}

/// A batch of one simple query.
pub fn simple(text: &str) -> Result<Batch, BatchError> {
    let mut bytes = BytesMut::new();
    crate::pg::put_query(&mut bytes, text)?;
    Ok(Batch {
        bytes,
        classified: Arc::new(classify(text)),
        executes: true,
        simple: true,
        messages: Vec::new(),
        wanted_parses: Vec::new(),
    })
}

/// Builds a batch from extended-protocol messages; the last one is `Sync`.
pub fn extended(
    messages: Vec<PgWireFrontendMessage>,
    prepared: &mut PreparedStatements,
) -> Result<Batch, BatchError> {
    let mut builder = Builder {
        bytes: BytesMut::new(),
        prepared,
        current: None,
        wanted_parses: Vec::new(),
        used: Vec::new(),
        executes: false,
    };
    let mut kept = Vec::with_capacity(messages.len());
    for message in messages {
        kept.push(builder.add(message)?);
    }
    let classified = union(&builder.used);
    Ok(Batch {
        bytes: builder.bytes,
        classified,
        executes: builder.executes,
        simple: false,
        messages: kept,
        wanted_parses: builder.wanted_parses,
    })
}

struct Builder<'a> {
    bytes: BytesMut,
    prepared: &'a mut PreparedStatements,
    /// Name of the caller's statement that the unnamed one now stands for.
    current: Option<String>,
    wanted_parses: Vec<bool>,
    used: Vec<Arc<Classified>>,
    executes: bool,
}

impl Builder<'_> {
    fn add(&mut self, message: PgWireFrontendMessage) -> Result<PgWireFrontendMessage, BatchError> {
        match message {
            PgWireFrontendMessage::Parse(parse) => self.parse(parse),
            PgWireFrontendMessage::Bind(mut bind) => {
                let name = bind.statement_name.take().unwrap_or_default();
                self.make_current(&name)?;
                self.put(PgWireFrontendMessage::Bind(bind))
            }
            PgWireFrontendMessage::Describe(mut describe) if describe.target_type == TARGET_STATEMENT => {
                let name = describe.name.take().unwrap_or_default();
                self.make_current(&name)?;
                self.put(PgWireFrontendMessage::Describe(describe))
            }
            PgWireFrontendMessage::Close(mut close) if close.target_type == TARGET_STATEMENT => {
                let name = close.name.take().unwrap_or_default();
                self.prepared.remove(&name);
                self.current = None;
                self.put(PgWireFrontendMessage::Close(close))
            }
            PgWireFrontendMessage::Execute(execute) => {
                self.executes = true;
                self.put(PgWireFrontendMessage::Execute(execute))
            }
            PgWireFrontendMessage::Flush(_) => Err(BatchError::Message("Flush")),
            message @ (PgWireFrontendMessage::Describe(_)
            | PgWireFrontendMessage::Close(_)
            | PgWireFrontendMessage::Sync(_)) => self.put(message),
            _ => Err(BatchError::Message("copy and other")),
        }
    }

    fn put(&mut self, message: PgWireFrontendMessage) -> Result<PgWireFrontendMessage, BatchError> {
        put_frontend(&mut self.bytes, &message)?;
        Ok(message)
    }

    fn parse(&mut self, mut parse: Parse) -> Result<PgWireFrontendMessage, BatchError> {
        let name = parse.name.take().unwrap_or_default();
        let statement = Prepared {
            query: parse.query.clone(),
            type_oids: parse.type_oids.clone(),
            classified: Arc::new(classify(&parse.query)),
        };
        self.used.push(statement.classified.clone());
        self.prepared.insert(name.clone(), statement);
        self.current = Some(name);
        self.wanted_parses.push(true);
        self.put(PgWireFrontendMessage::Parse(parse))
    }

    /// Makes the unnamed statement stand for the caller's statement `name`.
    fn make_current(&mut self, name: &str) -> Result<(), BatchError> {
        if self.current.as_deref() == Some(name) {
            return Ok(());
        }
        let statement = self
            .prepared
            .get(name)
            .ok_or_else(|| BatchError::UnknownStatement(name.to_owned()))?;
        let parse = Parse::new(None, statement.query.clone(), statement.type_oids.clone());
        self.used.push(statement.classified.clone());
        self.current = Some(name.to_owned());
        self.wanted_parses.push(false);
        self.put(PgWireFrontendMessage::Parse(parse))?;
        Ok(())
    }
}

fn union(used: &[Arc<Classified>]) -> Arc<Classified> {
    match used {
        [] => Arc::new(Classified {
            kinds: vec![StatementKind::Empty],
            ..Classified::default()
        }),
        [only] => only.clone(),
        several => {
            let mut whole = Classified::default();
            for part in several {
                whole.kinds.extend(part.kinds.iter().cloned());
                whole.tags.extend(part.tags.iter().cloned());
                whole.tables.extend(part.tables.iter().cloned());
            }
            Arc::new(whole)
        }
    }
}

impl Batch {
    /// The answer as the caller expects it: without the parse confirmations
    /// that it did not ask for.
    pub fn caller_answer(&self, answer: Vec<u8>) -> Result<BytesMut, PgWireError> {
        let mut source = BytesMut::from(&answer[..]);
        if self.wanted_parses.iter().all(|wanted| *wanted) {
            return Ok(source);
        }
        let context = established_context();
        let mut wanted = self.wanted_parses.iter();
        let mut out = BytesMut::with_capacity(source.len());
        while let Some(message) = PgWireBackendMessage::decode(&mut source, &context)? {
            let parse = matches!(message, PgWireBackendMessage::ParseComplete(_));
            if parse && wanted.next() == Some(&false) {
                continue;
            }
            put_backend(&mut out, &message)?;
        }
        Ok(out)
    }
}
