//! Conversion of result rows and parameters between SQLite and the PostgreSQL protocol.

use bytes::{Bytes, BytesMut};
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use rusqlite::types::ValueRef;

/// Object identifier of the `text` type.
pub(super) const TEXT_OID: u32 = 25;
const INT8_OID: u32 = 20;
const BINARY_FORMAT: i16 = 1;

/// Result of a statement: column names with type identifiers, rows as text, and
/// the command tag.
#[derive(Debug, Default)]
pub(super) struct ResultSet {
    pub(super) columns: Vec<(String, u32)>,
    pub(super) rows: Vec<Vec<Option<String>>>,
    pub(super) tag: String,
}

/// SQL text of a prepared statement and the parameter types that the client declared.
#[derive(Debug, Clone)]
pub(super) struct PreparedStatement {
    pub(super) sql: String,
    pub(super) type_oids: Vec<u32>,
}

/// Returns a result without rows.
pub(super) fn empty_result(tag: &str) -> ResultSet {
    ResultSet {
        tag: tag.to_owned(),
        ..ResultSet::default()
    }
}

pub(super) fn result_columns(prepared: &rusqlite::Statement<'_>) -> Vec<(String, u32)> {
    prepared
        .columns()
        .map(|column| {
            let declared = column.decl_type().unwrap_or_default().to_uppercase();
            let oid = if declared.contains("INT") {
                INT8_OID
            } else {
                TEXT_OID
            };
            (column.name().to_owned(), oid)
        })
        .collect()
}

pub(super) fn value_text(value: ValueRef<'_>) -> Option<String> {
    match value {
        ValueRef::Null => None,
        ValueRef::Integer(number) => Some(number.to_string()),
        ValueRef::Real(number) => Some(number.to_string()),
        ValueRef::Text(text) | ValueRef::Blob(text) => Some(String::from_utf8_lossy(text).into_owned()),
    }
}

/// Type of a parameter; `text` if the client declared none.
pub(super) fn parameter_type(statement: &PreparedStatement, index: usize) -> u32 {
    let declared = statement.type_oids.get(index).copied().unwrap_or(0);
    if declared == 0 { TEXT_OID } else { declared }
}

/// Format code of a column or parameter: no code means text, a single code
/// applies to all.
pub(super) fn format_code(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => 0,
        [code] => *code,
        codes => codes.get(index).copied().unwrap_or(0),
    }
}

/// Decodes a parameter to text; binary integers are converted to decimal.
pub(super) fn parameter_text(
    value: Option<&Bytes>,
    format: i16,
    statement: &PreparedStatement,
    index: usize,
) -> Option<String> {
    let bytes = value?;
    if format == BINARY_FORMAT && parameter_type(statement, index) != TEXT_OID {
        let number = match bytes.len() {
            2 => i64::from(i16::from_be_bytes([bytes[0], bytes[1]])),
            4 => i64::from(i32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])),
            8 => i64::from_be_bytes(bytes[..8].try_into().unwrap_or_default()),
            _ => return Some(String::from_utf8_lossy(bytes).into_owned()),
        };
        return Some(number.to_string());
    }
    Some(String::from_utf8_lossy(bytes).into_owned())
}

pub(super) fn row_description(columns: &[(String, u32)], formats: &[i16]) -> RowDescription {
    let fields = columns.iter().enumerate().map(|(index, (name, oid))| {
        let size = if *oid == INT8_OID { 8 } else { -1 };
        FieldDescription::new(name.clone(), 0, 0, *oid, size, -1, format_code(formats, index))
    });
    RowDescription::new(fields.collect())
}

pub(super) fn data_row(values: &[Option<String>], columns: &[(String, u32)], formats: &[i16]) -> DataRow {
    let mut data = BytesMut::new();
    for (index, value) in values.iter().enumerate() {
        let Some(text) = value else {
            data.extend_from_slice(&(-1i32).to_be_bytes());
            continue;
        };
        let binary = format_code(formats, index) == BINARY_FORMAT && columns[index].1 == INT8_OID;
        let bytes = match text.parse::<i64>() {
            Ok(number) if binary => number.to_be_bytes().to_vec(),
            _ => text.as_bytes().to_vec(),
        };
        data.extend_from_slice(&(bytes.len() as i32).to_be_bytes());
        data.extend_from_slice(&bytes);
    }
    DataRow::new(data, values.len() as i16)
}
