//! HTML page with a summary and plots of each recorded experiment: request
//! rates over time and latency quantiles.

use std::path::{Path, PathBuf};

use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::history::{History, WriteOutcome};

const BUCKET_MS: u64 = 250;
const QUANTILES: [f64; 12] = [
    0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.998, 0.999, 1.0,
];
const PLOT_SIZE: (u32, u32) = (760, 260);

/// Reason why a report cannot be written.
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

/// Request counts within one interval of the timeline.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct TimelineBucket {
    /// Acknowledged writes.
    pub acknowledged: u32,
    /// Answered reads.
    pub reads: u32,
    /// Refused or failed requests.
    pub failed: u32,
}

/// Summary and plot data of one run, stored as JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordedRun {
    /// Summary as printed by the program.
    pub summary: serde_json::Value,
    /// Request counts per interval, starting at the first answer.
    pub timeline: Vec<TimelineBucket>,
    /// Latency quantiles of acknowledged writes, in microseconds.
    pub write_curve: Vec<u64>,
    /// Latency quantiles of answered reads, in microseconds.
    pub read_curve: Vec<u64>,
}

impl RecordedRun {
    /// Combines a summary with the plot data of its history.
    pub fn new(summary: serde_json::Value, history: &History) -> Self {
        let writes = history.writes.iter().map(|write| {
            (
                write.answered_at_ms,
                write.outcome == WriteOutcome::Acknowledged,
                true,
            )
        });
        let reads = history
            .reads
            .iter()
            .map(|read| (read.answered_at_ms, read.answered, false));
        let events: Vec<(u64, bool, bool)> = writes.chain(reads).collect();
        let acknowledged = history
            .writes
            .iter()
            .filter(|write| write.outcome == WriteOutcome::Acknowledged);
        let answered = history.reads.iter().filter(|read| read.answered);
        RecordedRun {
            summary,
            timeline: timeline(&events),
            write_curve: latency_quantiles(acknowledged.map(|write| write.latency_us).collect()),
            read_curve: latency_quantiles(answered.map(|read| read.latency_us).collect()),
        }
    }
}

fn timeline(events: &[(u64, bool, bool)]) -> Vec<TimelineBucket> {
    let Some(first) = events.iter().map(|(at, _, _)| *at).min() else {
        return Vec::new();
    };
    let mut buckets = Vec::new();
    for (at, answered, write) in events {
        let index = ((at - first) / BUCKET_MS) as usize;
        if buckets.len() <= index {
            buckets.resize(index + 1, TimelineBucket::default());
        }
        let bucket: &mut TimelineBucket = &mut buckets[index];
        match (answered, write) {
            (false, _) => bucket.failed += 1,
            (true, true) => bucket.acknowledged += 1,
            (true, false) => bucket.reads += 1,
        }
    }
    buckets
}

fn latency_quantiles(mut latency_us: Vec<u64>) -> Vec<u64> {
    latency_us.sort_unstable();
    if latency_us.is_empty() {
        return Vec::new();
    }
    QUANTILES
        .iter()
        .map(|quantile| latency_us[((latency_us.len() - 1) as f64 * quantile) as usize])
        .collect()
}

/// Writes `index.html` for all recorded runs in a directory and returns its path.
///
/// Fails if a file cannot be read or written, if a JSON file is not a recorded
/// run, or if a plot cannot be drawn.
pub fn write_index(directory: &Path) -> Result<PathBuf, ReportError> {
    let file_error = |path: &Path| {
        let path = path.to_owned();
        move |error| ReportError::File(path, error)
    };
    let mut paths: Vec<PathBuf> = std::fs::read_dir(directory)
        .map_err(file_error(directory))?
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| path.extension().is_some_and(|extension| extension == "json"))
        .collect();
    paths.sort();
    let mut html = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>millwind experiments</title>\n<body style=\"font-family:sans-serif;max-width:60em;margin:auto\">\n<h1>millwind experiments</h1>\n",
    );
    for path in paths {
        let text = std::fs::read_to_string(&path).map_err(file_error(&path))?;
        let run: RecordedRun =
            serde_json::from_str(&text).map_err(|error| ReportError::Content(path.clone(), error))?;
        html.push_str(&run_section(&run)?);
    }
    let path = directory.join("index.html");
    std::fs::write(&path, html).map_err(file_error(&path))?;
    Ok(path)
}

fn run_section(run: &RecordedRun) -> Result<String, ReportError> {
    let field = |name: &str| run.summary[name].to_string().trim_matches('"').to_owned();
    let mut html = format!(
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
        html.push_str(&format!("<tr><td>{name}</td><td>{}</td></tr>\n", field(name)));
    }
    html.push_str("</table>\n<p>Requests per second over time: acknowledged writes (blue), answered reads (green), refused or failed (red)</p>\n");
    html.push_str(&timeline_plot(&run.timeline)?);
    html.push_str("<p>Latency by quantile, in milliseconds: writes (blue), reads (green)</p>\n");
    html.push_str(&quantile_plot(&run.write_curve, &run.read_curve)?);
    Ok(html)
}

fn plot_error(error: impl std::fmt::Display) -> ReportError {
    ReportError::Plot(error.to_string())
}

/// Selects one count of a bucket.
type BucketCount = fn(&TimelineBucket) -> u32;

fn timeline_plot(timeline: &[TimelineBucket]) -> Result<String, ReportError> {
    let per_second = 1_000.0 / BUCKET_MS as f64;
    let series: [(RGBColor, BucketCount); 3] = [
        (BLUE, |bucket| bucket.acknowledged),
        (GREEN, |bucket| bucket.reads),
        (RED, |bucket| bucket.failed),
    ];
    let y_max = timeline
        .iter()
        .map(|bucket| bucket.acknowledged.max(bucket.reads).max(bucket.failed))
        .max()
        .unwrap_or(1);
    let x_max = timeline.len() as f64 / per_second;
    let lines = series.map(|(color, value)| {
        let points = timeline
            .iter()
            .enumerate()
            .map(|(index, bucket)| (index as f64 / per_second, f64::from(value(bucket)) * per_second))
            .collect();
        (color, points)
    });
    draw_lines(x_max, f64::from(y_max) * per_second, &lines)
}

fn quantile_plot(writes: &[u64], reads: &[u64]) -> Result<String, ReportError> {
    let points = |quantiles: &[u64]| -> Vec<(f64, f64)> {
        let positions = QUANTILES.iter().enumerate().map(|(index, _)| index as f64);
        positions
            .zip(quantiles.iter().map(|latency_us| *latency_us as f64 / 1_000.0))
            .collect()
    };
    let y_max = writes.iter().chain(reads).max().copied().unwrap_or(1) as f64 / 1_000.0;
    draw_lines(
        (QUANTILES.len() - 1) as f64,
        y_max,
        &[(BLUE, points(writes)), (GREEN, points(reads))],
    )
}

fn draw_lines(x_max: f64, y_max: f64, lines: &[(RGBColor, Vec<(f64, f64)>)]) -> Result<String, ReportError> {
    let mut html = String::new();
    {
        let area = SVGBackend::with_string(&mut html, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..x_max.max(0.1), 0.0..y_max.max(0.1) * 1.05)
            .map_err(plot_error)?;
        chart.configure_mesh().draw().map_err(plot_error)?;
        for (color, points) in lines {
            let line = LineSeries::new(points.iter().copied(), *color);
            chart.draw_series(line).map_err(plot_error)?;
        }
        area.present().map_err(plot_error)?;
    }
    Ok(html)
}
