//! Errors in the settings file and in the configuration folder, reported all at once with positions.

use expect_test::{Expect, expect};
use wasabiswitch_kernel::config_document::{
    digest, entry_digest, preserve_key_changes, read_entries, read_texts_as_config,
};
use wasabiswitch_kernel::document::Errors;
use wasabiswitch_kernel::settings::{FIELDS, read_text};

fn lines(errors: &Errors) -> String {
    errors.iter().map(|error| format!("{error}\n")).collect()
}

fn check_folder(files: &[(&str, &str)], expected: &Expect) {
    let texts: Vec<(String, String)> =
        files.iter().map(|(name, text)| ((*name).to_owned(), (*text).to_owned())).collect();
    let outcome = read_texts_as_config(&texts);
    expected.assert_eq(&outcome.map_or_else(|errors| lines(&errors), |_| "no errors\n".into()));
}

#[test]
fn folder_reports_all_errors_of_all_files_with_positions() {
    check_folder(
        &[
            (
                "a.json",
                r#"{
  // A comment.
  "pools": {
    "p": { "unavailable_max": "two", "spar": true },
    "q": {}
  },
  "shelves": {}
}"#,
            ),
            ("b.json", "{ \"teams\": { \"t\": { \"weight\": 1.5, \"limit_slots\": -1 } } }"),
            ("c.json", "{ \"teams\": "),
            ("d.json", "{ \"teams\": [] }"),
        ],
        &expect![[r#"
            a.json:4:31: pools.p.unavailable_max: expected a whole number from 0 to 4294967295, found a string
            a.json:4:46: pools.p.spar: the field is unknown
            a.json:5:10: pools.q.unavailable_max: the field is missing
            a.json:7:14: shelves: the section is unknown; there are services, pools, instances, teams, queues, keys
            b.json:1:31: teams.t.weight: expected a whole number from 0 to 4294967295, found a number
            b.json:1:51: teams.t.limit_slots: expected a whole number from 0 to 4294967295, found a number
            c.json:1:12: Expected value after colon in object property
            d.json:1:12: teams: expected an object, found an array
        "#]],
    );
}

#[test]
fn semantic_errors_point_at_the_last_file_that_sets_the_field() {
    check_folder(
        &[
            (
                "10.json",
                r#"{"pools": {"p": {"unavailable_max": 0}},
 "instances": {"i": {"pool": "p", "failure_domain": "r", "data_centre": "d",
   "address": "10.0.0.1:80", "slots": 8}}}"#,
            ),
            (
                "20.json",
                "{\"instances\": {\"i\": {\n  \"pool\": \"nowhere\", \"address\": \"host\"}}}",
            ),
            ("30.json", "{\"teams\": {\"t\": {\"weight\": 0, \"limit_slots\": 1}}}"),
        ],
        &expect![[r#"
            20.json:2:11: instances.i.pool: there is no pool named "nowhere"
            20.json:2:33: instances.i.address: "host" is not an IP address with a port
            30.json:1:28: teams.t.weight: a team without weight would starve
        "#]],
    );
}

#[test]
fn files_are_merged_in_order_of_file_name() {
    let file = |name: &str, text: &str| (name.to_owned(), text.to_owned());
    let document = read_texts_as_config(&[
        file("20.json", r#"{"teams": {"t": {"limit_slots": 5}, "gone": null}}"#),
        file(
            "10.json",
            r#"{"teams": {"t": {"weight": 2, "limit_slots": 1}, "gone": {"weight": 1, "limit_slots": 1}}}"#,
        ),
    ])
    .expect("the files have no errors");
    let key = ("teams".to_owned(), "t".to_owned());
    assert_eq!(document.entries[&key], r#"{"limit_slots":5,"weight":2}"#);
    assert_eq!(document.entries.len(), 1);
    assert_eq!(read_entries(&document.entries).expect("entries read back"), document.config);
    assert_eq!(digest(&document.entries), entry_digest(&key, &document.entries[&key]));
}

#[test]
fn applying_a_folder_keeps_granted_and_withdrawn_keys() {
    let digest = "0".repeat(64);
    let key = |id: &str| ("keys".to_owned(), id.to_owned());
    let before = [
        (key("granted"), format!(r#"{{"digest":"{digest}","granted":true,"team":"t"}}"#)),
        (key("withdrawn"), format!(r#"{{"digest":"{digest}","team":"t","withdrawn":true}}"#)),
        (key("plain"), format!(r#"{{"digest":"{digest}","team":"t"}}"#)),
    ]
    .into();
    let mut after = [(key("withdrawn"), format!(r#"{{"digest":"{digest}","team":"t"}}"#))].into();
    preserve_key_changes(&before, &mut after);
    assert_eq!(
        after.keys().map(|key| key.1.as_str()).collect::<Vec<_>>(),
        ["granted", "withdrawn"]
    );
    assert!(after[&key("withdrawn")].contains("withdrawn\":true"));
}

#[test]
fn settings_report_all_errors_with_positions() {
    let text = r#"{
  "daemon": "d",
  "data_center": "dc",
  "entry_listen": "localhost:80",
  "control_listen": 8081,
  "peer_key": "short",
  "platform": { "embedded": true, "address": "127.0.0.1:1" },
  "lease_ms": 1,
  "log_level": "loud"
}"#;
    let errors = read_text("daemon.json", text).expect_err("the settings have errors");
    expect![[r#"
        daemon.json:1:1: data_centre: the field is missing
        daemon.json:1:1: entry_listen: "localhost:80" is not an IP address with a port
        daemon.json:1:1: lease_ms: a lease must be at least 300 ms long
        daemon.json:1:1: log_level: expected one of off, error, warn, info, debug, trace
        daemon.json:1:1: peer_key: the key must have at least 16 bytes
        daemon.json:3:18: data_center: the field is unknown
        daemon.json:5:21: control_listen: expected a string, found a number
        daemon.json:7:15: platform.address: expected "embedded": true, an address, or fleet
    "#]]
    .assert_eq(&lines(&errors));
}

/// Guards against limits on clients that contradict each other or that `hyper` does not accept.
#[test]
fn limits_on_clients_are_checked_together() {
    let text = r#"{"daemon": "d", "data_centre": "dc", "entry_listen": "127.0.0.1:0",
        "control_listen": "127.0.0.1:0", "peer_key": "peer-key-of-the-tests",
        "platform": {"embedded": true}, "memory_mib": 8, "descriptors_max": 1000,
        "connections_max": 900, "intake_bytes_max": 90000000, "head_max_bytes": 100,
        "body_timeout_ms": 0}"#;
    let errors = read_text("daemon.json", text).expect_err("the settings have errors");
    expect![[r#"
        daemon.json:1:1: body_timeout_ms: expected a whole number from 100 to 3600000
        daemon.json:1:1: connections_max: expected a whole number from 1 to 800, descriptors_max less 200 for files
        daemon.json:1:1: head_max_bytes: expected a whole number from 8192 to 1048576
        daemon.json:1:1: intake_bytes_max: expected a whole number from 1048576 to 4194304, half of memory_mib
        daemon.json:1:1: memory_mib: expected at least 16
    "#]].assert_eq(&lines(&errors));
}

/// Guards against limits that a daemon on a small instance, or in a process with few descriptors, exceeds.
#[test]
fn limits_on_clients_follow_from_the_size_of_the_instance() {
    let read = |size: &str| {
        let text = format!(
            r#"{{"daemon": "d", "data_centre": "dc", "entry_listen": "127.0.0.1:0",
                "control_listen": "127.0.0.1:0", "peer_key": "peer-key-of-the-tests",
                "platform": {{"embedded": true}} {size}}}"#
        );
        read_text("settings", &text).expect("the settings are valid").intake
    };
    let bounds = |size: &str, process| {
        let bounds = read(size).entry_bounds(process);
        (bounds.bytes_max >> 20, bounds.connections_max)
    };
    assert_eq!(bounds("", None), (20, 1_280));
    assert_eq!(bounds("", Some(1_000)), (20, 400));
    assert_eq!(bounds(r#", "memory_mib": 512.5, "descriptors_max": 8192"#, None), (64, 3_996));
    // A stated number goes before that of the process: the platform may not count its sockets there.
    assert_eq!(bounds(r#", "descriptors_max": 4100"#, Some(64)), (20, 1_280));
    assert_eq!(bounds(r#", "connections_max": 9, "intake_bytes_max": 2097152"#, None), (2, 9));
}

#[test]
fn settings_field_list_matches_the_reader() {
    // A file with every listed field and one other: only the other one is reported as unknown.
    let fields: Vec<String> = FIELDS.iter().map(|f| format!("\"{}\": null", f.name)).collect();
    let text = format!("{{ {}, \"stray\": 1 }}", fields.join(", "));
    let errors = read_text("x", &text).expect_err("null is not a valid value");
    let unknown: Vec<&str> = errors
        .iter()
        .filter(|error| error.detail.contains("unknown"))
        .map(|error| error.field.as_str())
        .collect();
    assert_eq!(unknown, ["stray"]);
}
