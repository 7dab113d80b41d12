//! Changes of documents: a change is stored first, and then comes into force on the nodes.

use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use millwind_node::admin::{ChangeBody, DocumentRow, StandingsReport, StatusReport, StoredBody};

use crate::EXIT_STORED_ONLY;
use crate::client::{Admin, ClientError};

/// Prefix of the line that states the revision a file is based on.
pub const REVISION_LINE: &str = "# revision = ";
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Contents of a document file.
struct DocumentFile {
    name: String,
    revision: Option<u64>,
    body: String,
}

fn read_document(path: &Path) -> Result<DocumentFile, ClientError> {
    let display_path = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| ClientError::File(display_path.clone(), error.to_string()))?;
    let table: toml::Table = text
        .parse()
        .map_err(|error: toml::de::Error| ClientError::File(display_path.clone(), error.to_string()))?;
    let name = table
        .get("name")
        .and_then(|value| value.as_str())
        .ok_or_else(|| {
            ClientError::File(display_path, "field `name` is missing or not a string".to_owned())
        })?;
    Ok(DocumentFile {
        name: name.to_owned(),
        revision: base_revision(&text),
        body: text,
    })
}

/// Returns the revision that the first line of a file states, if any.
fn base_revision(text: &str) -> Option<u64> {
    text.lines()
        .next()?
        .strip_prefix(REVISION_LINE)?
        .trim()
        .parse()
        .ok()
}

/// Stores a file as a document and waits until it is in force on all nodes. The exit code is
/// [`EXIT_STORED_ONLY`] if that takes longer than `wait` seconds.
pub async fn apply(
    admin: &Admin,
    kind: &str,
    file: &Path,
    change_id: Option<String>,
    wait: u64,
) -> Result<ExitCode, ClientError> {
    let document = read_document(file)?;
    let body = ChangeBody {
        change_id: change_id.unwrap_or_else(new_change_id),
        expected_revision: document.revision,
        body: Some(document.body),
    };
    store(admin, kind, &document.name, &body, wait).await
}

/// Deletes a document and waits like [`apply`] until the deletion is in force.
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
    let deadline = Instant::now() + Duration::from_secs(wait);
    let mut printed = String::new();
    loop {
        let report = standings(admin, stored.revision).await?;
        let line = summary(&report);
        if line != printed {
            println!("{line}");
            printed = line;
        }
        if report.pending.is_empty() {
            return Ok(ExitCode::SUCCESS);
        }
        if Instant::now() >= deadline {
            println!(
                "stored but not yet in force; pending nodes: {}",
                report.pending.join(" ")
            );
            return Ok(ExitCode::from(EXIT_STORED_ONLY));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn standings(admin: &Admin, revision: u64) -> Result<StandingsReport, ClientError> {
    admin.get(&format!("/standings?revision={revision}")).await
}

fn summary(report: &StandingsReport) -> String {
    let live = report.in_force + report.pending.len();
    format!(
        "in force {} of {live} nodes, {} stopped",
        report.in_force, report.stopped
    )
}

/// Prints on how many nodes a revision is in force.
pub async fn report(admin: &Admin, revision: Option<u64>) -> Result<ExitCode, ClientError> {
    let revision = match revision {
        Some(revision) => revision,
        None => admin.get::<StatusReport>("/status").await?.revision,
    };
    // The first request makes the node query the relays; the second returns their answers.
    standings(admin, revision).await?;
    tokio::time::sleep(POLL_INTERVAL).await;
    let report = standings(admin, revision).await?;
    println!("revision={revision} {}", summary(&report));
    if report.pending.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    println!("pending nodes: {}", report.pending.join(" "));
    Ok(ExitCode::from(EXIT_STORED_ONLY))
}

/// Prints how a file differs from the document in force.
pub async fn diff(admin: &Admin, kind: &str, file: &Path) -> Result<(), ClientError> {
    let document = read_document(file)?;
    let current: DocumentRow = admin.get(&format!("/documents/{kind}/{}", document.name)).await?;
    let without_header = |text: &str| {
        text.lines()
            .filter(|line| !line.starts_with(REVISION_LINE))
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    let old = without_header(&current.body);
    let new = without_header(&document.body);
    for line in old.iter().filter(|line| !new.contains(line)) {
        println!("- {line}");
    }
    for line in new.iter().filter(|line| !old.contains(line)) {
        println!("+ {line}");
    }
    Ok(())
}
