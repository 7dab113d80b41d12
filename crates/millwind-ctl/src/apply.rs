//! Changes of documents: stored first, then in force.

use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use millwind_node::admin::{ChangeBody, DocumentRow, StandingsReport, StatusReport, StoredBody};

use crate::EXIT_STORED_ONLY;
use crate::client::{Admin, ClientError};

/// Starts the line that names the revision a file was made from.
pub const REVISION_LINE: &str = "# revision = ";
const POLL: Duration = Duration::from_millis(200);

/// A document file.
struct DocumentFile {
    name: String,
    revision: Option<u64>,
    body: String,
}

fn read(path: &Path) -> Result<DocumentFile, ClientError> {
    let shown = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|error| ClientError::File(shown.clone(), error.to_string()))?;
    let table: toml::Table = text
        .parse()
        .map_err(|error: toml::de::Error| ClientError::File(shown.clone(), error.to_string()))?;
    let name = table
        .get("name")
        .and_then(|value| value.as_str())
        .ok_or_else(|| ClientError::File(shown, "field name is missing or not a text".to_owned()))?;
    Ok(DocumentFile {
        name: name.to_owned(),
        revision: stated_revision(&text),
        body: text,
    })
}

fn stated_revision(text: &str) -> Option<u64> {
    text.lines()
        .next()?
        .strip_prefix(REVISION_LINE)?
        .trim()
        .parse()
        .ok()
}

/// Stores a file and waits for it to be in force.
pub async fn apply(
    admin: &Admin,
    kind: &str,
    file: &Path,
    change_id: Option<String>,
    wait: u64,
) -> Result<ExitCode, ClientError> {
    let document = read(file)?;
    let body = ChangeBody {
        change_id: change_id.unwrap_or_else(new_change_id),
        expected_revision: document.revision,
        body: Some(document.body),
    };
    store(admin, kind, &document.name, &body, wait).await
}

/// Deletes a document and waits for that to be in force.
pub async fn delete(admin: &Admin, kind: &str, name: &str, wait: u64) -> Result<ExitCode, ClientError> {
    let body = ChangeBody {
        change_id: new_change_id(),
        expected_revision: None,
        body: None,
    };
    store(admin, kind, name, &body, wait).await
}

fn new_change_id() -> String {
    format!("ctl-{:016x}", rand::random::<u64>())
}

async fn store(
    admin: &Admin,
    kind: &str,
    name: &str,
    body: &ChangeBody,
    wait: u64,
) -> Result<ExitCode, ClientError> {
    println!("change_id={}", body.change_id);
    let stored: StoredBody = admin.put(&format!("/documents/{kind}/{name}"), body).await?;
    println!("stored revision={}", stored.revision);
    let give_up = Instant::now() + Duration::from_secs(wait);
    let mut shown = String::new();
    loop {
        let report = standings(admin, stored.revision).await?;
        let line = describe(&report);
        if line != shown {
            println!("{line}");
            shown = line;
        }
        if report.pending.is_empty() {
            return Ok(ExitCode::SUCCESS);
        }
        if Instant::now() >= give_up {
            println!("only stored; not yet known of: {}", report.pending.join(" "));
            return Ok(ExitCode::from(EXIT_STORED_ONLY));
        }
        tokio::time::sleep(POLL).await;
    }
}

async fn standings(admin: &Admin, revision: u64) -> Result<StandingsReport, ClientError> {
    admin.get(&format!("/standings?revision={revision}")).await
}

fn describe(report: &StandingsReport) -> String {
    let live = report.in_force + report.pending.len();
    format!(
        "in force {} of {live} nodes, {} stopped",
        report.in_force, report.stopped
    )
}

/// Prints how far a revision has come into force.
pub async fn report(admin: &Admin, revision: Option<u64>) -> Result<ExitCode, ClientError> {
    let revision = match revision {
        Some(revision) => revision,
        None => admin.get::<StatusReport>("/status").await?.revision,
    };
    // The first question makes the node ask the relays; the second knows more.
    standings(admin, revision).await?;
    tokio::time::sleep(POLL).await;
    let report = standings(admin, revision).await?;
    println!("revision={revision} {}", describe(&report));
    if report.pending.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    println!("not known of: {}", report.pending.join(" "));
    Ok(ExitCode::from(EXIT_STORED_ONLY))
}

/// Prints how a file differs from what is in force.
pub async fn diff(admin: &Admin, kind: &str, file: &Path) -> Result<(), ClientError> {
    let document = read(file)?;
    let held: DocumentRow = admin.get(&format!("/documents/{kind}/{}", document.name)).await?;
    let without_header = |text: &str| {
        text.lines()
            .filter(|line| !line.starts_with(REVISION_LINE))
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    let old = without_header(&held.body);
    let new = without_header(&document.body);
    for line in old.iter().filter(|line| !new.contains(line)) {
        println!("- {line}");
    }
    for line in new.iter().filter(|line| !old.contains(line)) {
        println!("+ {line}");
    }
    Ok(())
}
