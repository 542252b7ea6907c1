//! The burn report as a self-contained HTML page.

use std::fmt::Write as _;

use wasabiswitch_policy::burn::Counts;

use super::{BurnLine, OBJECTIVE, WINDOWS, alert_name};

/// Width of a plot, in pixels.
const PLOT_WIDTH: usize = 360;
/// Height of a plot, in pixels.
const PLOT_HEIGHT: usize = 48;
/// Maximum number of bars in a plot; older buckets are left out.
const BARS_MAX: usize = 90;

const STYLE: &str = "body{font:14px sans-serif;margin:2em;color:#222}\
table{border-collapse:collapse}td,th{padding:.3em .8em;border-bottom:1px solid #ddd;\
text-align:right}td:first-child,th:first-child,td:nth-child(2),th:nth-child(2)\
{text-align:left}.fast{color:#b00020;font-weight:bold}.slow{color:#b36b00}";

/// Returns the report page of one daemon.
pub(super) fn render_page(daemon: &str, lines: &[BurnLine]) -> String {
    let mut rows = String::new();
    for line in lines {
        rows.push_str(&table_row(line));
    }
    if lines.is_empty() {
        rows.push_str("<tr><td colspan=8>no requests yet</td></tr>");
    }
    let headings: String =
        WINDOWS.iter().map(|(name, _)| format!("<th>burn {name}</th>")).collect();
    format!(
        "<!doctype html><html lang=en><meta charset=utf-8><title>Service-level burn</title>\
         <style>{STYLE}</style><h1>Service-level burn</h1>\
         <p>Daemon {}, objective {OBJECTIVE}. A burn of 1 uses the budget up exactly.</p>\
         <table><tr><th>team</th><th>service</th>{headings}<th>alert</th><th>budget left</th>\
         <th>bad requests by time</th></tr>{rows}</table></html>",
        escape(daemon)
    )
}

fn table_row(line: &BurnLine) -> String {
    let alert = alert_name(line.alert());
    let rates: String = line.rates().iter().map(|rate| format!("<td>{rate:.2}</td>")).collect();
    format!(
        "<tr><td>{}</td><td>{}</td>{rates}<td class={alert}>{alert}</td><td>{:.1}%</td>\
         <td>{}</td></tr>",
        escape(&line.team),
        escape(&line.service),
        line.budget_left() * 100.0,
        plot(&line.buckets)
    )
}

/// Draws one bar per bucket: all requests in grey, bad ones in red.
fn plot(buckets: &[Counts]) -> String {
    let shown = &buckets[buckets.len().saturating_sub(BARS_MAX)..];
    let max_total = shown.iter().map(|counts| counts.total).max().unwrap_or(0).max(1);
    let width = PLOT_WIDTH / BARS_MAX;
    let mut bars = String::new();
    for (index, counts) in shown.iter().enumerate() {
        for (value, colour) in [(counts.total, "#ccc"), (counts.bad, "#b00020")] {
            let height = value as usize * PLOT_HEIGHT / max_total as usize;
            let (x, y) = (index * width, PLOT_HEIGHT - height);
            let _ =
                write!(bars, "<rect x={x} y={y} width={width} height={height} fill='{colour}'/>");
        }
    }
    format!("<svg width={PLOT_WIDTH} height={PLOT_HEIGHT}>{bars}</svg>")
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
