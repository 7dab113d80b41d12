//! Answers the proxy gives itself: its own settings, and statements that end a
//! transaction that is not open.

use bytes::BytesMut;
use millwind_core::classify::StatementKind;
use pgwire::error::PgWireError;
use pgwire::messages::data::{DataRow, FieldDescription, NoData, ParameterDescription, RowDescription};
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::{CommandComplete, EmptyQueryResponse};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};

use super::batch::Batch;
use crate::pg::put_backend;

const TEXT_TYPE_OID: u32 = 25;
const VARIABLE_SIZE: i16 = -1;
const TARGET_STATEMENT: u8 = b'S';

/// Encodes the answer to a batch that the proxy handles itself as statements
/// of these kinds; `show` gives the value of a setting.
pub fn encode(
    batch: &Batch,
    kinds: &[StatementKind],
    show: impl Fn(&str) -> String,
) -> Result<BytesMut, PgWireError> {
    let mut out = BytesMut::new();
    if batch.simple {
        for kind in kinds {
            describe(&mut out, kind)?;
            execute(&mut out, kind, &show)?;
        }
        return Ok(out);
    }
    let mut executed = kinds.iter();
    for message in &batch.messages {
        answer_message(&mut out, message, &mut executed, kinds, &show)?;
    }
    Ok(out)
}

fn answer_message<'a>(
    out: &mut BytesMut,
    message: &PgWireFrontendMessage,
    executed: &mut impl Iterator<Item = &'a StatementKind>,
    kinds: &[StatementKind],
    show: &impl Fn(&str) -> String,
) -> Result<(), PgWireError> {
    match message {
        PgWireFrontendMessage::Parse(_) => {
            put_backend(out, &PgWireBackendMessage::ParseComplete(ParseComplete::new()))
        }
        PgWireFrontendMessage::Bind(_) => {
            put_backend(out, &PgWireBackendMessage::BindComplete(BindComplete::new()))
        }
        PgWireFrontendMessage::Close(_) => {
            put_backend(out, &PgWireBackendMessage::CloseComplete(CloseComplete::new()))
        }
        PgWireFrontendMessage::Describe(target) => {
            if target.target_type == TARGET_STATEMENT {
                let parameters = ParameterDescription::new(Vec::new());
                put_backend(out, &PgWireBackendMessage::ParameterDescription(parameters))?;
            }
            match kinds.first() {
                Some(kind @ StatementKind::ShowProxy { .. }) => describe(out, kind),
                _ => put_backend(out, &PgWireBackendMessage::NoData(NoData::new())),
            }
        }
        PgWireFrontendMessage::Execute(_) => match executed.next() {
            Some(kind) => execute(out, kind, show),
            None => Ok(()),
        },
        _ => Ok(()),
    }
}

fn describe(out: &mut BytesMut, kind: &StatementKind) -> Result<(), PgWireError> {
    let StatementKind::ShowProxy { name } = kind else {
        return Ok(());
    };
    let field = FieldDescription::new(
        format!("millwind.{name}"),
        0,
        0,
        TEXT_TYPE_OID,
        VARIABLE_SIZE,
        -1,
        0,
    );
    put_backend(
        out,
        &PgWireBackendMessage::RowDescription(RowDescription::new(vec![field])),
    )
}

fn execute(
    out: &mut BytesMut,
    kind: &StatementKind,
    show: &impl Fn(&str) -> String,
) -> Result<(), PgWireError> {
    let tag = match kind {
        StatementKind::Empty => {
            return put_backend(
                out,
                &PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new()),
            );
        }
        StatementKind::ShowProxy { name } => {
            put_backend(out, &PgWireBackendMessage::DataRow(text_row(&show(name))))?;
            "SHOW"
        }
        StatementKind::Commit => "COMMIT",
        StatementKind::Rollback => "ROLLBACK",
        _ => "SET",
    };
    put_backend(
        out,
        &PgWireBackendMessage::CommandComplete(CommandComplete::new(tag.to_owned())),
    )
}

fn text_row(value: &str) -> DataRow {
    let mut data = BytesMut::new();
    data.extend_from_slice(&(value.len() as i32).to_be_bytes());
    data.extend_from_slice(value.as_bytes());
    DataRow::new(data, 1)
}
