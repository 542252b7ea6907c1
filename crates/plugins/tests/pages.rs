//! The operators' pages name everything that the code has, and nothing else.

use std::collections::BTreeSet;
use std::path::Path;

use wasabiswitch_kernel::http::problem::ALL_CODES;
use wasabiswitch_kernel::metric;
use wasabiswitch_kernel::settings::FIELDS;

/// Returns the names in the first column of a page's table.
fn names(page: &str) -> BTreeSet<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators").join(page);
    let text = std::fs::read_to_string(&path).expect("the page is there");
    let rows = text.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split('`').next()).map(str::to_owned).collect()
}

#[test]
fn every_metric_is_on_its_page() {
    let known: BTreeSet<String> = metric::ALL.iter().map(|metric| metric.name.to_owned()).collect();
    assert_eq!(names("metrics.md"), known);
}

#[test]
fn every_code_is_on_its_page() {
    let known: BTreeSet<String> = ALL_CODES.iter().map(|code| code.name.to_owned()).collect();
    assert_eq!(names("problems.md"), known);
}

#[test]
fn every_setting_is_on_its_page() {
    let known: BTreeSet<String> = FIELDS.iter().map(|field| field.name.to_owned()).collect();
    assert_eq!(names("settings.md"), known);
}
