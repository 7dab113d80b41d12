//! Client session of a simulated instance.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::BytesMut;
use millwind_node::pg::put_backend;
use millwind_node::pg::status::STATUS_QUERY;
use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, SslResponse, TransactionStatus,
};
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion, SslNegotiationMetaMessage,
};
use rusqlite::{Connection, ErrorCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::OwnedMutexGuard;

use super::Instance;
use super::database;
use super::log_state::{Role, Statement, await_majority};
use super::rows::{
    PreparedStatement, ResultSet, TEXT_OID, data_row, empty_result, format_code, parameter_text,
    parameter_type, result_columns, row_description, value_text,
};
use super::sql::{first_keyword, is_session_command, split_statements};
use super::status;

const LOCK_TIMEOUT: Duration = Duration::from_secs(5);
const DESCRIBE_STATEMENT: u8 = b'S';

/// Accepts client connections and serves each in a task.
pub async fn serve(listener: TcpListener, instance: Arc<Instance>) {
    while let Ok((stream, _)) = listener.accept().await {
        let instance = instance.clone();
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let within_limit = instance.connection_opened();
            let _ = serve_connection(stream, &instance, within_limit).await;
            instance.connection_closed();
        });
    }
}

/// Error response to a client: SQLSTATE and message.
#[derive(Debug, Clone)]
struct SqlError {
    sqlstate: &'static str,
    message: String,
}

impl SqlError {
    fn new(sqlstate: &'static str, message: impl ToString) -> Self {
        SqlError {
            sqlstate,
            message: message.to_string(),
        }
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> Self {
        let text = error.to_string();
        let sqlstate = match error.sqlite_error_code() {
            Some(ErrorCode::ConstraintViolation) => "23505",
            Some(ErrorCode::ReadOnly) => "25006",
            Some(ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked) => "55P03",
            _ if text.contains("no such table") => "42P01",
            _ if text.contains("no such column") => "42703",
            _ => "42601",
        };
        SqlError::new(sqlstate, text)
    }
}

#[derive(Debug)]
struct Transaction {
    /// Write lock, held from the first write until the commit or rollback.
    lock: Option<OwnedMutexGuard<()>>,
    statements: Vec<Statement>,
    failed: bool,
}

#[derive(Debug)]
struct Portal {
    sql: String,
    parameters: Vec<Option<String>>,
    formats: Vec<i16>,
}

struct Session {
    instance: Arc<Instance>,
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    context: DecodeContext,
    connection: Connection,
    generation: u64,
    transaction: Option<Transaction>,
    prepared: HashMap<String, PreparedStatement>,
    portals: HashMap<String, Portal>,
    /// Whether extended-query messages are skipped until `Sync`, after an error.
    skip_until_sync: bool,
}

async fn serve_connection(
    stream: TcpStream,
    instance: &Arc<Instance>,
    within_limit: bool,
) -> std::io::Result<()> {
    let generation = instance.state.lock().generation;
    let connection = database::open(instance, generation).map_err(std::io::Error::other)?;
    let mut session = Session {
        instance: instance.clone(),
        stream,
        input: BytesMut::new(),
        output: BytesMut::new(),
        context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
        connection,
        generation,
        transaction: None,
        prepared: HashMap::new(),
        portals: HashMap::new(),
        skip_until_sync: false,
    };
    if !session.handle_startup(within_limit).await? {
        return Ok(());
    }
    while let Some(message) = session.read_message().await? {
        if matches!(message, PgWireFrontendMessage::Terminate(_)) {
            return Ok(());
        }
        if session.instance.state.lock().generation != session.generation {
            // The database was rebuilt. Close the connection, as a server does
            // that restarts for a rewind.
            return Ok(());
        }
        session.handle(message).await?;
    }
    Ok(())
}

impl Session {
    async fn read_message(&mut self) -> std::io::Result<Option<PgWireFrontendMessage>> {
        loop {
            let decoded = PgWireFrontendMessage::decode(&mut self.input, &self.context);
            if let Some(message) = decoded.map_err(std::io::Error::other)? {
                return Ok(Some(message));
            }
            self.flush().await?;
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
        }
    }

    async fn flush(&mut self) -> std::io::Result<()> {
        if !self.output.is_empty() {
            let bytes = self.output.split();
            self.stream.write_all(&bytes).await?;
        }
        Ok(())
    }

    fn put(&mut self, message: PgWireBackendMessage) {
        // The messages are small, so encoding cannot fail.
        let _ = put_backend(&mut self.output, &message);
    }

    fn put_error(&mut self, error: &SqlError, severity: &str) {
        let fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', error.sqlstate.to_owned()),
            (b'M', error.message.clone()),
        ];
        self.put(PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields)));
    }

    /// Performs the startup handshake; returns false if the connection is rejected.
    async fn handle_startup(&mut self, within_limit: bool) -> std::io::Result<bool> {
        loop {
            match self.read_message().await? {
                Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                    self.context.awaiting_frontend_ssl = false;
                }
                Some(PgWireFrontendMessage::SslNegotiation(_)) => {
                    self.put(PgWireBackendMessage::SslResponse(SslResponse::Refuse));
                }
                Some(PgWireFrontendMessage::Startup(_)) => break,
                _ => return Ok(false),
            }
        }
        self.context.awaiting_frontend_startup = false;
        if !within_limit {
            self.put_error(&SqlError::new("53300", "too many connections"), "FATAL");
            self.flush().await?;
            return Ok(false);
        }
        tokio::time::sleep(Duration::from_millis(self.instance.settings.connect_ms)).await;
        self.put(PgWireBackendMessage::Authentication(Authentication::Ok));
        for (name, value) in [
            ("server_version", "15.0"),
            ("client_encoding", "UTF8"),
            ("standard_conforming_strings", "on"),
        ] {
            let parameter = ParameterStatus::new(name.to_owned(), value.to_owned());
            self.put(PgWireBackendMessage::ParameterStatus(parameter));
        }
        self.put(PgWireBackendMessage::BackendKeyData(BackendKeyData::new(
            1,
            SecretKey::I32(1),
        )));
        self.put_ready_for_query();
        self.flush().await?;
        Ok(true)
    }

    fn put_ready_for_query(&mut self) {
        let status = match &self.transaction {
            None => TransactionStatus::Idle,
            Some(transaction) if transaction.failed => TransactionStatus::Error,
            Some(_) => TransactionStatus::Transaction,
        };
        self.put(PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status)));
    }

    async fn handle(&mut self, message: PgWireFrontendMessage) -> std::io::Result<()> {
        match message {
            PgWireFrontendMessage::Query(query) => {
                self.simple_query(&query.query).await;
                self.put_ready_for_query();
            }
            PgWireFrontendMessage::Sync(_) => {
                self.skip_until_sync = false;
                self.put_ready_for_query();
            }
            _ if self.skip_until_sync => {}
            other => {
                if let Err(error) = self.handle_extended(other).await {
                    self.report_error(&error);
                    self.skip_until_sync = true;
                }
            }
        }
        Ok(())
    }

    /// Sends an error and marks the open transaction as failed.
    fn report_error(&mut self, error: &SqlError) {
        if let Some(transaction) = &mut self.transaction {
            transaction.failed = true;
        }
        self.put_error(error, "ERROR");
    }

    /// Executes all statements of a simple query; several statements form an implicit
    /// transaction unless the first one is a session command.
    async fn simple_query(&mut self, text: &str) {
        let statements = split_statements(text);
        if statements.is_empty() {
            self.put(PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new()));
            return;
        }
        let implicit =
            statements.len() > 1 && self.transaction.is_none() && !is_session_command(&statements[0]);
        if implicit {
            self.begin();
        }
        for sql in &statements {
            match self.execute(sql, &[]).await {
                Ok(result) => self.put_result(&result, &[], true),
                Err(error) => {
                    self.report_error(&error);
                    if implicit {
                        self.roll_back();
                    }
                    return;
                }
            }
        }
        if implicit
            && self.transaction.is_some()
            && let Err(error) = self.commit().await
        {
            self.report_error(&error);
        }
    }

    async fn handle_extended(&mut self, message: PgWireFrontendMessage) -> Result<(), SqlError> {
        match message {
            PgWireFrontendMessage::Parse(parse) => {
                self.check_syntax(&parse.query)?;
                let statement = PreparedStatement {
                    sql: parse.query,
                    type_oids: parse.type_oids,
                };
                self.prepared.insert(parse.name.unwrap_or_default(), statement);
                self.put(PgWireBackendMessage::ParseComplete(ParseComplete::new()));
            }
            PgWireFrontendMessage::Bind(bind) => {
                let statement =
                    self.prepared_statement(bind.statement_name.as_deref().unwrap_or_default())?;
                let formats = &bind.parameter_format_codes;
                let parameters = bind
                    .parameters
                    .iter()
                    .enumerate()
                    .map(|(index, value)| {
                        parameter_text(value.as_ref(), format_code(formats, index), &statement, index)
                    })
                    .collect();
                let portal = Portal {
                    sql: statement.sql,
                    parameters,
                    formats: bind.result_column_format_codes,
                };
                self.portals.insert(bind.portal_name.unwrap_or_default(), portal);
                self.put(PgWireBackendMessage::BindComplete(BindComplete::new()));
            }
            PgWireFrontendMessage::Describe(describe) => {
                self.describe(describe.target_type, &describe.name.unwrap_or_default())?;
            }
            PgWireFrontendMessage::Execute(execute) => {
                let name = execute.name.unwrap_or_default();
                let portal = self
                    .portals
                    .remove(&name)
                    .ok_or_else(|| SqlError::new("34000", format!("portal {name:?} does not exist")))?;
                let result = self.execute(&portal.sql, &portal.parameters).await?;
                self.put_result(&result, &portal.formats, false);
            }
            PgWireFrontendMessage::Close(_) => {
                self.put(PgWireBackendMessage::CloseComplete(CloseComplete::new()));
            }
            _ => return Err(SqlError::new("0A000", "message not supported")),
        }
        Ok(())
    }

    fn prepared_statement(&self, name: &str) -> Result<PreparedStatement, SqlError> {
        self.prepared
            .get(name)
            .cloned()
            .ok_or_else(|| SqlError::new("26000", format!("prepared statement {name:?} does not exist")))
    }

    fn check_syntax(&self, sql: &str) -> Result<(), SqlError> {
        if is_session_command(sql) || sql.trim().is_empty() {
            return Ok(());
        }
        self.connection.prepare_cached(sql)?;
        Ok(())
    }

    fn describe(&mut self, target: u8, name: &str) -> Result<(), SqlError> {
        let sql = if target == DESCRIBE_STATEMENT {
            let statement = self.prepared_statement(name)?;
            let count = self.parameter_count(&statement.sql)?;
            let types = (0..count)
                .map(|index| parameter_type(&statement, index))
                .collect();
            self.put(PgWireBackendMessage::ParameterDescription(
                ParameterDescription::new(types),
            ));
            statement.sql
        } else {
            self.portals
                .get(name)
                .map(|portal| portal.sql.clone())
                .unwrap_or_default()
        };
        let columns = self.columns(&sql)?;
        if columns.is_empty() {
            self.put(PgWireBackendMessage::NoData(NoData::new()));
        } else {
            self.put(PgWireBackendMessage::RowDescription(row_description(
                &columns,
                &[],
            )));
        }
        Ok(())
    }

    fn parameter_count(&self, sql: &str) -> Result<usize, SqlError> {
        if is_session_command(sql) {
            return Ok(0);
        }
        Ok(self.connection.prepare_cached(sql)?.parameter_count())
    }

    fn columns(&self, sql: &str) -> Result<Vec<(String, u32)>, SqlError> {
        if is_session_command(sql) || sql.trim().is_empty() {
            return Ok(Vec::new());
        }
        let prepared = self.connection.prepare_cached(sql)?;
        Ok(result_columns(&prepared))
    }

    fn put_result(&mut self, result: &ResultSet, formats: &[i16], describe: bool) {
        if describe && !result.columns.is_empty() {
            self.put(PgWireBackendMessage::RowDescription(row_description(
                &result.columns,
                formats,
            )));
        }
        for row in &result.rows {
            let row = data_row(row, &result.columns, formats);
            self.put(PgWireBackendMessage::DataRow(row));
        }
        let complete = CommandComplete::new(result.tag.clone());
        self.put(PgWireBackendMessage::CommandComplete(complete));
    }

    async fn execute(&mut self, sql: &str, parameters: &[Option<String>]) -> Result<ResultSet, SqlError> {
        if sql == STATUS_QUERY {
            return self.status();
        }
        let word = first_keyword(sql);
        match word.as_str() {
            "BEGIN" | "START" => {
                self.begin();
                return Ok(empty_result("BEGIN"));
            }
            "COMMIT" | "END" => return self.commit().await,
            "ROLLBACK" | "ABORT" => {
                self.roll_back();
                return Ok(empty_result("ROLLBACK"));
            }
            "SET" => return Ok(empty_result("SET")),
            _ => {}
        }
        if self
            .transaction
            .as_ref()
            .is_some_and(|transaction| transaction.failed)
        {
            return Err(SqlError::new("25P02", "current transaction is aborted"));
        }
        self.instance.statements.fetch_add(1, Ordering::Relaxed);
        let instance = self.instance.clone();
        let _slot = instance.slots.acquire().await;
        if instance.settings.service_us > 0 {
            tokio::time::sleep(Duration::from_micros(instance.settings.service_us)).await;
        }
        let read_only = self.connection.prepare_cached(sql)?.readonly();
        if read_only {
            return self.query_in_transaction(sql, parameters);
        }
        drop(_slot);
        self.write(sql, parameters).await
    }

    fn status(&self) -> Result<ResultSet, SqlError> {
        let state = self.instance.state.lock();
        let row =
            status::row(&state).ok_or_else(|| SqlError::new("57P03", "instance has not joined its group"))?;
        Ok(ResultSet {
            columns: status::COLUMNS
                .iter()
                .map(|name| ((*name).to_owned(), TEXT_OID))
                .collect(),
            rows: vec![row],
            tag: "SELECT 1".to_owned(),
        })
    }

    /// Runs a statement after the open transaction's earlier writes, then rolls
    /// everything back. The writes are applied for good only on commit, so SQLite
    /// is never locked between two messages of a client.
    fn query_in_transaction(&self, sql: &str, parameters: &[Option<String>]) -> Result<ResultSet, SqlError> {
        let Some(transaction) = self
            .transaction
            .as_ref()
            .filter(|transaction| transaction.lock.is_some())
        else {
            return self.query(sql, parameters);
        };
        self.connection.execute_batch("BEGIN IMMEDIATE")?;
        let result = self
            .execute_all(&transaction.statements)
            .and_then(|()| self.query(sql, parameters));
        self.connection.execute_batch("ROLLBACK")?;
        result
    }

    fn execute_all(&self, statements: &[Statement]) -> Result<(), SqlError> {
        for statement in statements {
            database::execute(&self.connection, statement)?;
        }
        Ok(())
    }

    fn query(&self, sql: &str, parameters: &[Option<String>]) -> Result<ResultSet, SqlError> {
        let mut prepared = self.connection.prepare_cached(sql)?;
        let columns = result_columns(&prepared);
        database::bind(&mut prepared, parameters)?;
        let mut result_rows = prepared.raw_query();
        let mut rows = Vec::new();
        while let Some(row) = result_rows.next()? {
            let values = (0..columns.len()).map(|index| Ok(value_text(row.get_ref(index)?)));
            rows.push(values.collect::<Result<Vec<_>, rusqlite::Error>>()?);
        }
        let tag = format!("SELECT {}", rows.len());
        Ok(ResultSet { columns, rows, tag })
    }

    /// Executes a write; commits at once outside a transaction.
    async fn write(&mut self, sql: &str, parameters: &[Option<String>]) -> Result<ResultSet, SqlError> {
        let autocommit = self.transaction.is_none();
        if autocommit {
            self.begin();
        }
        let result = self.write_in_transaction(sql, parameters).await;
        match result {
            Ok(result) if autocommit => {
                self.commit().await?;
                Ok(result)
            }
            Err(error) if autocommit => {
                self.roll_back();
                Err(error)
            }
            other => other,
        }
    }

    async fn write_in_transaction(
        &mut self,
        sql: &str,
        parameters: &[Option<String>],
    ) -> Result<ResultSet, SqlError> {
        self.check_primary()?;
        let has_lock = self
            .transaction
            .as_ref()
            .is_some_and(|transaction| transaction.lock.is_some());
        if !has_lock {
            let lock = tokio::time::timeout(LOCK_TIMEOUT, self.instance.write_lock.clone().lock_owned())
                .await
                .map_err(|_| SqlError::new("55P03", "lock timeout"))?;
            if let Some(transaction) = &mut self.transaction {
                transaction.lock = Some(lock);
            }
        }
        let mut result = self.query_in_transaction(sql, parameters)?;
        let count = self.connection.changes();
        result.tag = match first_keyword(sql).as_str() {
            "INSERT" => format!("INSERT 0 {count}"),
            word @ ("UPDATE" | "DELETE") => format!("{word} {count}"),
            word => word.to_owned(),
        };
        if let Some(transaction) = &mut self.transaction {
            transaction.statements.push(Statement {
                sql: sql.to_owned(),
                parameters: parameters.to_vec(),
            });
        }
        Ok(result)
    }

    fn check_primary(&self) -> Result<(), SqlError> {
        if self.instance.state.lock().role == Role::Leader {
            return Ok(());
        }
        Err(SqlError::new(
            "25006",
            "cannot execute a write in a read-only transaction",
        ))
    }

    fn begin(&mut self) {
        self.transaction.get_or_insert(Transaction {
            lock: None,
            statements: Vec::new(),
            failed: false,
        });
    }

    fn roll_back(&mut self) {
        self.transaction = None;
    }

    /// Applies the transaction's writes, appends them to the log and waits for a
    /// majority. Fails if the instance is no longer the primary. Like PostgreSQL,
    /// rolls back a failed transaction and reports `ROLLBACK`.
    async fn commit(&mut self) -> Result<ResultSet, SqlError> {
        let failed = self
            .transaction
            .as_ref()
            .is_some_and(|transaction| transaction.failed);
        if failed {
            self.roll_back();
            return Ok(empty_result("ROLLBACK"));
        }
        let Some(transaction) = self.transaction.take() else {
            return Ok(empty_result("COMMIT"));
        };
        if transaction.lock.is_none() {
            return Ok(empty_result("COMMIT"));
        }
        let length = {
            let mut state = self.instance.state.lock();
            if state.role != Role::Leader || state.generation != self.generation {
                return Err(SqlError::new(
                    "25006",
                    "instance stopped leading before the commit",
                ));
            }
            self.connection.execute_batch("BEGIN IMMEDIATE")?;
            if let Err(error) = self.execute_all(&transaction.statements) {
                self.connection.execute_batch("ROLLBACK")?;
                return Err(error);
            }
            self.connection.execute_batch("COMMIT")?;
            state.append(transaction.statements);
            state.log.len()
        };
        drop(transaction.lock);
        self.instance.state.notify();
        await_majority(&self.instance.state, self.instance.settings.peers.len(), length).await;
        Ok(empty_result("COMMIT"))
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.roll_back();
    }
}
