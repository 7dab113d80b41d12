//! The operators' page documents every log event of the engine and of the platform, and no
//! other event.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const PAGE: &str = "docs/operations/platform.md";
const SOURCES: [&str; 2] = ["crates/millwind-engine/src", "platform/src"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Appends all Rust files below `folder` to `files`.
fn collect_sources(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sources(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// Returns the names that follow each `marker` in `text`.
fn names_following<'a>(text: &'a str, marker: &str) -> impl Iterator<Item = String> + 'a {
    let is_name = |character: char| character.is_ascii_lowercase() || character == '_';
    let parts: Vec<&str> = text.split(marker).skip(1).collect();
    parts
        .into_iter()
        .map(move |part| part.chars().take_while(|character| is_name(*character)).collect())
}

/// Returns the event names in the log messages of all source files.
fn events_in_code() -> BTreeSet<String> {
    let mut files = Vec::new();
    for folder in SOURCES {
        collect_sources(&root().join(folder), &mut files);
    }
    let texts = files.iter().map(|file| std::fs::read_to_string(file).unwrap());
    texts
        .flat_map(|text| names_following(&text, "event=").collect::<Vec<_>>())
        .filter(|name| !name.is_empty())
        .collect()
}

/// Returns the event names in the first column of the page's tables.
fn events_on_page() -> BTreeSet<String> {
    let text = std::fs::read_to_string(root().join(PAGE)).unwrap();
    let rows = text.lines().filter(|line| line.starts_with("| `"));
    rows.filter_map(|row| row.split('|').nth(1))
        .flat_map(|cell| names_following(&cell.replace("` ", ""), "`").collect::<Vec<_>>())
        .filter(|name| !name.is_empty())
        .collect()
}

#[test]
fn the_page_documents_every_event_and_no_other() {
    let (code, page) = (events_in_code(), events_on_page());
    let missing: Vec<_> = code.difference(&page).collect();
    let unknown: Vec<_> = page.difference(&code).collect();
    assert!(code.len() > 20, "too few events found in the code: {code:?}");
    assert!(missing.is_empty(), "not documented in {PAGE}: {missing:?}");
    assert!(
        unknown.is_empty(),
        "documented in {PAGE} but not in the code: {unknown:?}"
    );
}
