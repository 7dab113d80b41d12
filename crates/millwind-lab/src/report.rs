//! An HTML page with plots of experiments: throughput and refusals over time,
//! and latency curves.

use std::path::{Path, PathBuf};

use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::history::{History, Told};

const BUCKET_MS: u64 = 250;
const QUANTILES: [f64; 12] = [
    0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.998, 0.999, 1.0,
];
const PLOT_SIZE: (u32, u32) = (760, 260);

/// Why a report was not made.
#[derive(Debug, Error)]
pub enum ReportError {
    /// A file cannot be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// A file is not a recorded run.
    #[error("{0}: {1}")]
    Content(PathBuf, serde_json::Error),
    /// A plot cannot be drawn.
    #[error("plot: {0}")]
    Plot(String),
}

/// What happened within one span of time.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Bucket {
    /// Writes acknowledged.
    pub acknowledged: u32,
    /// Reads answered.
    pub reads: u32,
    /// Requests refused or failed.
    pub failed: u32,
}

/// A recorded run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordedRun {
    /// The summary, as printed.
    pub summary: serde_json::Value,
    /// Spans of time, from the first answer on.
    pub timeline: Vec<Bucket>,
    /// Latencies of acknowledged writes at the quantiles, in microseconds.
    pub write_curve: Vec<u64>,
    /// Latencies of answered reads at the quantiles, in microseconds.
    pub read_curve: Vec<u64>,
}

impl RecordedRun {
    /// Records a run.
    pub fn new(summary: serde_json::Value, history: &History) -> Self {
        let writes = history
            .writes
            .iter()
            .map(|write| (write.answered_at_ms, write.told == Told::Acknowledged, true));
        let reads = history
            .reads
            .iter()
            .map(|read| (read.answered_at_ms, read.answered, false));
        let events: Vec<(u64, bool, bool)> = writes.chain(reads).collect();
        let acknowledged = history
            .writes
            .iter()
            .filter(|write| write.told == Told::Acknowledged);
        let answered = history.reads.iter().filter(|read| read.answered);
        RecordedRun {
            summary,
            timeline: timeline(&events),
            write_curve: curve(acknowledged.map(|write| write.micros).collect()),
            read_curve: curve(answered.map(|read| read.micros).collect()),
        }
    }
}

fn timeline(events: &[(u64, bool, bool)]) -> Vec<Bucket> {
    let Some(first) = events.iter().map(|(at, _, _)| *at).min() else {
        return Vec::new();
    };
    let mut buckets = Vec::new();
    for (at, answered, write) in events {
        let index = ((at - first) / BUCKET_MS) as usize;
        if buckets.len() <= index {
            buckets.resize(index + 1, Bucket::default());
        }
        let bucket: &mut Bucket = &mut buckets[index];
        match (answered, write) {
            (false, _) => bucket.failed += 1,
            (true, true) => bucket.acknowledged += 1,
            (true, false) => bucket.reads += 1,
        }
    }
    buckets
}

fn curve(mut micros: Vec<u64>) -> Vec<u64> {
    micros.sort_unstable();
    if micros.is_empty() {
        return Vec::new();
    }
    QUANTILES
        .iter()
        .map(|quantile| micros[((micros.len() - 1) as f64 * quantile) as usize])
        .collect()
}

/// Makes `index.html` of all recorded runs in a directory; returns its path.
pub fn make(directory: &Path) -> Result<PathBuf, ReportError> {
    let file_error = |path: &Path| {
        let path = path.to_owned();
        move |error| ReportError::File(path, error)
    };
    let mut names: Vec<PathBuf> = std::fs::read_dir(directory)
        .map_err(file_error(directory))?
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| path.extension().is_some_and(|extension| extension == "json"))
        .collect();
    names.sort();
    let mut page = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>millwind experiments</title>\n<body style=\"font-family:sans-serif;max-width:60em;margin:auto\">\n<h1>millwind experiments</h1>\n",
    );
    for name in names {
        let text = std::fs::read_to_string(&name).map_err(file_error(&name))?;
        let run: RecordedRun =
            serde_json::from_str(&text).map_err(|error| ReportError::Content(name.clone(), error))?;
        page.push_str(&section(&run)?);
    }
    let path = directory.join("index.html");
    std::fs::write(&path, page).map_err(file_error(&path))?;
    Ok(path)
}

fn section(run: &RecordedRun) -> Result<String, ReportError> {
    let field = |name: &str| run.summary[name].to_string().trim_matches('"').to_owned();
    let mut text = format!(
        "<h2>{} on {}</h2>\n<table>\n",
        field("experiment"),
        field("deployment")
    );
    let fields = [
        "offered",
        "completed_in_window",
        "refused_not_run",
        "unknown",
        "replica_read_share",
        "failover_gap_ms",
        "added_failover_gap_ms",
        "violations",
        "notes",
    ];
    for name in fields {
        text.push_str(&format!("<tr><td>{name}</td><td>{}</td></tr>\n", field(name)));
    }
    text.push_str("</table>\n<p>Requests per second over time: acknowledged writes (blue), answered reads (green), refused or failed (red)</p>\n");
    text.push_str(&timeline_plot(&run.timeline)?);
    text.push_str("<p>Latency by quantile, in milliseconds: writes (blue), reads (green)</p>\n");
    text.push_str(&curve_plot(&run.write_curve, &run.read_curve)?);
    Ok(text)
}

fn plot_error(error: impl std::fmt::Display) -> ReportError {
    ReportError::Plot(error.to_string())
}

/// One of a bucket's counts.
type BucketValue = fn(&Bucket) -> u32;

fn timeline_plot(timeline: &[Bucket]) -> Result<String, ReportError> {
    let per_second = 1_000.0 / BUCKET_MS as f64;
    let series: [(RGBColor, BucketValue); 3] = [
        (BLUE, |bucket| bucket.acknowledged),
        (GREEN, |bucket| bucket.reads),
        (RED, |bucket| bucket.failed),
    ];
    let highest = timeline
        .iter()
        .map(|bucket| bucket.acknowledged.max(bucket.reads).max(bucket.failed))
        .max()
        .unwrap_or(1);
    let end = timeline.len() as f64 / per_second;
    let lines = series.map(|(color, value)| {
        let points = timeline
            .iter()
            .enumerate()
            .map(|(index, bucket)| (index as f64 / per_second, f64::from(value(bucket)) * per_second))
            .collect();
        (color, points)
    });
    draw(end, f64::from(highest) * per_second, &lines)
}

fn curve_plot(writes: &[u64], reads: &[u64]) -> Result<String, ReportError> {
    let points = |curve: &[u64]| -> Vec<(f64, f64)> {
        let places = QUANTILES.iter().enumerate().map(|(index, _)| index as f64);
        places
            .zip(curve.iter().map(|micros| *micros as f64 / 1_000.0))
            .collect()
    };
    let highest = writes.iter().chain(reads).max().copied().unwrap_or(1) as f64 / 1_000.0;
    draw(
        (QUANTILES.len() - 1) as f64,
        highest,
        &[(BLUE, points(writes)), (GREEN, points(reads))],
    )
}

fn draw(end: f64, highest: f64, lines: &[(RGBColor, Vec<(f64, f64)>)]) -> Result<String, ReportError> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..end.max(0.1), 0.0..highest.max(0.1) * 1.05)
            .map_err(plot_error)?;
        chart.configure_mesh().draw().map_err(plot_error)?;
        for (color, points) in lines {
            let line = LineSeries::new(points.iter().copied(), *color);
            chart.draw_series(line).map_err(plot_error)?;
        }
        area.present().map_err(plot_error)?;
    }
    Ok(text)
}
