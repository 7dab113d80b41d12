//! A batch of client messages: one simple query, or extended-protocol messages up
//! to `Sync`.
//!
//! The gateway stores prepared statements, because back-end connections are shared
//! between sessions. Each batch parses the statements it uses as the unnamed
//! statement, and each `ParseComplete` for such an added parse is removed from the
//! response.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::BytesMut;
use millwind_core::classify::{Classified, StatementKind, classify};
use pgwire::error::PgWireError;
use pgwire::messages::extendedquery::Parse;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};

use crate::pg::{established_context, put_backend, put_frontend};

const TARGET_STATEMENT: u8 = b'S';

/// A prepared statement of a session.
#[derive(Debug, Clone)]
pub struct PreparedStatement {
    query: String,
    type_oids: Vec<u32>,
    classified: Arc<Classified>,
}

/// Prepared statements of a session by name; the unnamed statement has the key "".
pub type PreparedStatements = HashMap<String, PreparedStatement>;

/// A batch encoded for a back end.
#[derive(Debug, Default)]
pub struct Batch {
    /// Encoded frontend messages.
    pub bytes: BytesMut,
    /// Classification of the statements.
    pub classified: Arc<Classified>,
    /// Whether the batch executes a statement rather than only describing it.
    pub executes: bool,
    /// Whether the batch uses the simple query protocol.
    pub simple: bool,
    /// Messages of an extended batch, used when the proxy itself responds.
    pub messages: Vec<PgWireFrontendMessage>,
    /// For each expected `ParseComplete`, whether the client sent the `Parse`.
    requested_parses: Vec<bool>,
}

/// Why a batch cannot be built.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The batch uses a statement that was not prepared.
    #[error("prepared statement {0:?} does not exist")]
    UnknownStatement(String),
    /// The proxy does not support a message of this type.
    #[error("{0} messages are not supported")]
    UnsupportedMessage(&'static str),
    /// A message cannot be encoded.
    #[error("encoding: {0}")]
    Encode(#[from] PgWireError),
}

/// Builds a batch from a simple query.
pub fn from_simple_query(text: &str) -> Result<Batch, BatchError> {
    let mut bytes = BytesMut::new();
    crate::pg::put_query(&mut bytes, text)?;
    Ok(Batch {
        bytes,
        classified: Arc::new(classify(text)),
        executes: true,
        simple: true,
        messages: Vec::new(),
        requested_parses: Vec::new(),
    })
}

/// Builds a batch from extended-protocol messages that end with `Sync`, and updates
/// `prepared`. Fails on an unknown statement or an unsupported message.
pub fn from_extended(
    messages: Vec<PgWireFrontendMessage>,
    prepared: &mut PreparedStatements,
) -> Result<Batch, BatchError> {
    let mut builder = BatchBuilder {
        bytes: BytesMut::new(),
        prepared,
        parsed_name: None,
        requested_parses: Vec::new(),
        classifications: Vec::new(),
        executes: false,
    };
    let mut rewritten = Vec::with_capacity(messages.len());
    for message in messages {
        rewritten.push(builder.add(message)?);
    }
    let classified = merge_classifications(&builder.classifications);
    Ok(Batch {
        bytes: builder.bytes,
        classified,
        executes: builder.executes,
        simple: false,
        messages: rewritten,
        requested_parses: builder.requested_parses,
    })
}

struct BatchBuilder<'a> {
    bytes: BytesMut,
    prepared: &'a mut PreparedStatements,
    /// Client name of the statement last parsed as the unnamed statement.
    parsed_name: Option<String>,
    requested_parses: Vec<bool>,
    classifications: Vec<Arc<Classified>>,
    executes: bool,
}

impl BatchBuilder<'_> {
    fn add(&mut self, message: PgWireFrontendMessage) -> Result<PgWireFrontendMessage, BatchError> {
        match message {
            PgWireFrontendMessage::Parse(parse) => self.parse(parse),
            PgWireFrontendMessage::Bind(mut bind) => {
                let name = bind.statement_name.take().unwrap_or_default();
                self.ensure_parsed(&name)?;
                self.encode(PgWireFrontendMessage::Bind(bind))
            }
            PgWireFrontendMessage::Describe(mut describe) if describe.target_type == TARGET_STATEMENT => {
                let name = describe.name.take().unwrap_or_default();
                self.ensure_parsed(&name)?;
                self.encode(PgWireFrontendMessage::Describe(describe))
            }
            PgWireFrontendMessage::Close(mut close) if close.target_type == TARGET_STATEMENT => {
                let name = close.name.take().unwrap_or_default();
                self.prepared.remove(&name);
                self.parsed_name = None;
                self.encode(PgWireFrontendMessage::Close(close))
            }
            PgWireFrontendMessage::Execute(execute) => {
                self.executes = true;
                self.encode(PgWireFrontendMessage::Execute(execute))
            }
            PgWireFrontendMessage::Flush(_) => Err(BatchError::UnsupportedMessage("Flush")),
            message @ (PgWireFrontendMessage::Describe(_)
            | PgWireFrontendMessage::Close(_)
            | PgWireFrontendMessage::Sync(_)) => self.encode(message),
            _ => Err(BatchError::UnsupportedMessage("COPY and other")),
        }
    }

    fn encode(&mut self, message: PgWireFrontendMessage) -> Result<PgWireFrontendMessage, BatchError> {
        put_frontend(&mut self.bytes, &message)?;
        Ok(message)
    }

    fn parse(&mut self, mut parse: Parse) -> Result<PgWireFrontendMessage, BatchError> {
        let name = parse.name.take().unwrap_or_default();
        let statement = PreparedStatement {
            query: parse.query.clone(),
            type_oids: parse.type_oids.clone(),
            classified: Arc::new(classify(&parse.query)),
        };
        self.classifications.push(statement.classified.clone());
        self.prepared.insert(name.clone(), statement);
        self.parsed_name = Some(name);
        self.requested_parses.push(true);
        self.encode(PgWireFrontendMessage::Parse(parse))
    }

    /// Parses the client's statement `name` as the unnamed statement, unless the
    /// unnamed statement already holds it.
    fn ensure_parsed(&mut self, name: &str) -> Result<(), BatchError> {
        if self.parsed_name.as_deref() == Some(name) {
            return Ok(());
        }
        let statement = self
            .prepared
            .get(name)
            .ok_or_else(|| BatchError::UnknownStatement(name.to_owned()))?;
        let parse = Parse::new(None, statement.query.clone(), statement.type_oids.clone());
        self.classifications.push(statement.classified.clone());
        self.parsed_name = Some(name.to_owned());
        self.requested_parses.push(false);
        self.encode(PgWireFrontendMessage::Parse(parse))?;
        Ok(())
    }
}

fn merge_classifications(classifications: &[Arc<Classified>]) -> Arc<Classified> {
    match classifications {
        [] => Arc::new(Classified {
            kinds: vec![StatementKind::Empty],
            ..Classified::default()
        }),
        [only] => only.clone(),
        parts => {
            let mut merged = Classified::default();
            for part in parts {
                merged.kinds.extend(part.kinds.iter().cloned());
                merged.tags.extend(part.tags.iter().cloned());
                merged.tables.extend(part.tables.iter().cloned());
            }
            Arc::new(merged)
        }
    }
}

impl Batch {
    /// Removes each `ParseComplete` whose `Parse` the client did not send.
    pub fn client_response(&self, response: Vec<u8>) -> Result<BytesMut, PgWireError> {
        let mut input = BytesMut::from(&response[..]);
        if self.requested_parses.iter().all(|requested| *requested) {
            return Ok(input);
        }
        let context = established_context();
        let mut requested = self.requested_parses.iter();
        let mut out = BytesMut::with_capacity(input.len());
        while let Some(message) = PgWireBackendMessage::decode(&mut input, &context)? {
            let is_parse = matches!(message, PgWireBackendMessage::ParseComplete(_));
            if is_parse && requested.next() == Some(&false) {
                continue;
            }
            put_backend(&mut out, &message)?;
        }
        Ok(out)
    }
}
