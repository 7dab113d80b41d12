//! The operators' page names every log event of the engine and its adapter, and
//! no other.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const PAGE: &str = "docs/operations/platform.md";
const SOURCES: [&str; 2] = ["crates/millwind-engine/src", "platform/src"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn sources(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// The names that follow `marker` in a text.
fn names_after<'a>(text: &'a str, marker: &str) -> impl Iterator<Item = String> + 'a {
    let is_name = |letter: char| letter.is_ascii_lowercase() || letter == '_';
    let parts: Vec<&str> = text.split(marker).skip(1).collect();
    parts
        .into_iter()
        .map(move |part| part.chars().take_while(|letter| is_name(*letter)).collect())
}

fn events_in_code() -> BTreeSet<String> {
    let mut files = Vec::new();
    for folder in SOURCES {
        sources(&root().join(folder), &mut files);
    }
    let texts = files.iter().map(|file| std::fs::read_to_string(file).unwrap());
    texts
        .flat_map(|text| names_after(&text, "event=").collect::<Vec<_>>())
        .filter(|name| !name.is_empty())
        .collect()
}

/// Names in the first column of the page's tables.
fn events_on_page() -> BTreeSet<String> {
    let text = std::fs::read_to_string(root().join(PAGE)).unwrap();
    let rows = text.lines().filter(|line| line.starts_with("| `"));
    rows.filter_map(|row| row.split('|').nth(1))
        .flat_map(|cell| names_after(&cell.replace("` ", ""), "`").collect::<Vec<_>>())
        .filter(|name| !name.is_empty())
        .collect()
}

#[test]
fn the_page_names_every_event_and_no_other() {
    let (code, page) = (events_in_code(), events_on_page());
    let missing: Vec<_> = code.difference(&page).collect();
    let unknown: Vec<_> = page.difference(&code).collect();
    assert!(code.len() > 20, "{code:?}");
    assert!(missing.is_empty(), "not on {PAGE}: {missing:?}");
    assert!(
        unknown.is_empty(),
        "on {PAGE} but nowhere in the code: {unknown:?}"
    );
}
