//! Responses that the proxy produces without a back end: to `millwind.*` settings,
//! and to COMMIT or ROLLBACK outside a transaction.

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
const VARIABLE_TYPE_SIZE: i16 = -1;
const TARGET_STATEMENT: u8 = b'S';

/// Encodes the response to a batch whose statements are of `kinds`; `setting_value`
/// returns the value of a `millwind.*` setting.
pub fn encode(
    batch: &Batch,
    kinds: &[StatementKind],
    setting_value: impl Fn(&str) -> String,
) -> Result<BytesMut, PgWireError> {
    let mut out = BytesMut::new();
    if batch.simple {
        for kind in kinds {
            encode_description(&mut out, kind)?;
            encode_execution(&mut out, kind, &setting_value)?;
        }
        return Ok(out);
    }
    let mut executed = kinds.iter();
    for message in &batch.messages {
        encode_message_response(&mut out, message, &mut executed, kinds, &setting_value)?;
    }
    Ok(out)
}

fn encode_message_response<'a>(
    out: &mut BytesMut,
    message: &PgWireFrontendMessage,
    executed: &mut impl Iterator<Item = &'a StatementKind>,
    kinds: &[StatementKind],
    setting_value: &impl Fn(&str) -> String,
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
        PgWireFrontendMessage::Describe(describe) => {
            if describe.target_type == TARGET_STATEMENT {
                let parameters = ParameterDescription::new(Vec::new());
                put_backend(out, &PgWireBackendMessage::ParameterDescription(parameters))?;
            }
            match kinds.first() {
                Some(kind @ StatementKind::ShowProxy { .. }) => encode_description(out, kind),
                _ => put_backend(out, &PgWireBackendMessage::NoData(NoData::new())),
            }
        }
        PgWireFrontendMessage::Execute(_) => match executed.next() {
            Some(kind) => encode_execution(out, kind, setting_value),
            None => Ok(()),
        },
        _ => Ok(()),
    }
}

fn encode_description(out: &mut BytesMut, kind: &StatementKind) -> Result<(), PgWireError> {
    let StatementKind::ShowProxy { name } = kind else {
        return Ok(());
    };
    let field = FieldDescription::new(
        format!("millwind.{name}"),
        0,
        0,
        TEXT_TYPE_OID,
        VARIABLE_TYPE_SIZE,
        -1,
        0,
    );
    put_backend(
        out,
        &PgWireBackendMessage::RowDescription(RowDescription::new(vec![field])),
    )
}

fn encode_execution(
    out: &mut BytesMut,
    kind: &StatementKind,
    setting_value: &impl Fn(&str) -> String,
) -> Result<(), PgWireError> {
    let tag = match kind {
        StatementKind::Empty => {
            return put_backend(
                out,
                &PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new()),
            );
        }
        StatementKind::ShowProxy { name } => {
            put_backend(
                out,
                &PgWireBackendMessage::DataRow(text_row(&setting_value(name))),
            )?;
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
