//! Exit codes and output of `wasabictl` as a process, without a daemon.

use std::net::TcpListener;
use std::process::{Command, Output};

fn wasabictl(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wasabictl"));
    command.args(arguments).output().expect("wasabictl can be started")
}

fn lossy_utf8(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Returns a loopback address on which no process listens.
fn unused_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback can be bound");
    listener.local_addr().expect("the listener has an address").to_string()
}

#[test]
fn exit_codes_distinguish_success_not_run_and_bad_input() {
    let unused = unused_address();
    let cases: [(&[&str], i32); 7] = [
        (&["key", "new", "press"], 0),
        (&["--server", &unused, "pool", "list"], 1),
        (&["--server", &unused, "fleet", "job", "00000000000000aa"], 1),
        (&["fleet", "show", "racks"], 2),
        (&["pool", "lost"], 2),
        (&["config", "check", "/nowhere"], 2),
        (&["--help"], 0),
    ];
    for (arguments, code) in cases {
        let output = wasabictl(arguments);
        assert_eq!(
            output.status.code(),
            Some(code),
            "{arguments:?}: {}",
            lossy_utf8(&output.stderr)
        );
    }
}

#[test]
fn config_check_prints_all_errors_with_their_positions() {
    let folder = std::env::temp_dir().join(format!("wasabictl-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    std::fs::write(folder.join("a.json"), "{\"teams\": {\"t\": {\"wait\": 1}}}")
        .expect("the folder is writable");
    std::fs::write(folder.join("b.json"), "{\"pools\": 3}").expect("the folder is writable");
    let output = wasabictl(&["config", "check", &folder.display().to_string()]);
    assert_eq!(output.status.code(), Some(2));
    let printed = lossy_utf8(&output.stderr);
    for line in [
        "a.json:1:17: teams.t.limit_slots: the field is missing",
        "a.json:1:26: teams.t.wait: the field is unknown",
        "b.json:1:11: pools: expected an object, found a number",
    ] {
        assert!(printed.contains(line), "{line} is not in:\n{printed}");
    }
    std::fs::remove_dir_all(&folder).expect("the folder is writable");
}

#[test]
fn key_new_prints_the_key_with_its_digest() {
    let output = wasabictl(&["--json", "key", "new", "press"]);
    let key: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("the output is JSON");
    let secret = key["key"].as_str().and_then(|key| key.strip_prefix("wsk_press_"));
    let digest = wasabiswitch_kernel::keys::secret_digest(
        secret.expect("the key starts with its prefix and id"),
    );
    let printed = key["digest"].as_str().and_then(wasabiswitch_kernel::keys::parse_digest);
    assert_eq!(printed, Some(digest));
}
