//! Exit codes and output of `wasabictl` as a process, without a daemon.

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::Value;

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
    let cases: [(&[&str], i32); 10] = [
        (&["key", "new", "press"], 0),
        (&["--server", &unused, "pool", "list"], 1),
        (&["--server", &unused, "fleet", "job", "00000000000000aa"], 1),
        (&["fleet", "show", "racks"], 2),
        (&["pool", "lost"], 2),
        (&["evacuation", "set", "dc"], 2),
        (&["evacuation", "set", "dc", "--store", &unused], 1),
        (&["evacuation", "list", "--store", &unused], 1),
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
        "a.json:1:17: teams.t.limit_slots: error: the field is missing",
        "a.json:1:26: teams.t.wait: error: the field is unknown",
        "b.json:1:11: pools: error: expected an object, found a number",
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

/// Serves a store with one worker in the data centre `dc-1` until the process ends; returns its address and the log of requests.
fn serve_store() -> (String, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback can be bound");
    let address = listener.local_addr().expect("the listener has an address").to_string();
    let requests = Arc::new(Mutex::new(Vec::new()));
    let log = requests.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = BufReader::new(stream.expect("a connection arrives"));
            while let Some(request) = read_request(&mut stream) {
                let body = answer(&request);
                log.lock().expect("the lock is not poisoned").push(request);
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
                let written = stream.get_mut().write_all(format!("{head}{body}").as_bytes());
                written.expect("the client reads");
            }
        }
    });
    (address, requests)
}

/// Reads the first line and the body of a request; returns `None` at the end of the connection.
fn read_request(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut first, mut length) = (String::new(), 0);
    stream.read_line(&mut first).ok().filter(|count| *count > 0)?;
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).ok()?;
        match line.trim().to_ascii_lowercase().strip_prefix("content-length:") {
            Some(value) => length = value.trim().parse().expect("a number"),
            None if line.trim().is_empty() => break,
            None => {}
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(format!("{} {}", first.trim(), lossy_utf8(&body)))
}

/// Returns the answer of the platform's store to a request. How the store spells its messages is known to `platform/` only.
fn answer(request: &str) -> String {
    let answers = include_str!("../../../platform/tests/fixtures/evacuation_store.json");
    let answers: Vec<Value> = serde_json::from_str(answers).expect("the answers are JSON");
    let mut answers = answers.into_iter();
    let is_asked = |answer: &Value| request.contains(answer["request"].as_str().unwrap_or(""));
    answers.find(is_asked).map_or_else(String::new, |answer| answer["answer"].to_string())
}

// Guards against a mistyped name that evacuates nothing, or that an operator believes to be lifted.
#[test]
fn evacuation_with_a_wrong_name_changes_nothing() {
    let (store, requests) = serve_store();
    let cases: [(&[&str], i32, &str, usize); 6] = [
        (&["set", "dc-2"], 2, "no listed worker is in the data centre dc-2", 0),
        (&["lift", "dc-1"], 2, "the data centre dc-1 is not evacuated", 0),
        (&["list"], 0, "dc-9", 0),
        (&["set", "dc-1"], 0, "evacuated: true", 1),
        (&["set", "dc-2", "--unlisted"], 0, "evacuated: true", 1),
        (&["lift", "dc-9"], 0, "evacuated: false", 1),
    ];
    for (arguments, code, text, writes) in cases {
        requests.lock().expect("the lock is not poisoned").clear();
        let output = wasabictl(&[&["evacuation"], arguments, &["--store", &store]].concat());
        let printed = lossy_utf8(&output.stdout) + &lossy_utf8(&output.stderr);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {printed}");
        assert!(printed.contains(text), "{arguments:?}: {printed}");
        let requests = requests.lock().expect("the lock is not poisoned");
        let sent = requests.iter().filter(|request| request.starts_with("POST ")).count();
        assert_eq!(sent, writes, "{arguments:?}: {requests:?}");
    }
}
