//! Checks that the operators' pages list exactly the metrics, problem codes and settings of the code.

use std::collections::BTreeSet;
use std::path::Path;

use wasabiswitch_kernel::http::problem::ALL_CODES;
use wasabiswitch_kernel::metric;
use wasabiswitch_kernel::settings::FIELDS;

/// Returns the names in the first column of a page's table.
fn first_column(page: &str) -> BTreeSet<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators").join(page);
    let text = std::fs::read_to_string(&path).expect("the page is there");
    let rows = text.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split('`').next()).map(str::to_owned).collect()
}

#[test]
fn metrics_page_lists_exactly_the_metrics() {
    let expected: BTreeSet<String> =
        metric::ALL.iter().map(|metric| metric.name.to_owned()).collect();
    assert_eq!(first_column("metrics.md"), expected);
}

#[test]
fn problems_page_lists_exactly_the_codes() {
    let expected: BTreeSet<String> = ALL_CODES.iter().map(|code| code.name.to_owned()).collect();
    assert_eq!(first_column("problems.md"), expected);
}

#[test]
fn settings_page_lists_exactly_the_settings() {
    let expected: BTreeSet<String> = FIELDS.iter().map(|field| field.name.to_owned()).collect();
    assert_eq!(first_column("settings.md"), expected);
}
