//! Findings of `wasabictl config check`; each test is named for the mistake that must not go unnoticed.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// Folder without findings; the tests add a file with one mistake.
const CLEAN: &str = r#"{
  "pools": { "p": { "unavailable_max": 2 }, "spare": { "unavailable_max": 1, "spare": true } },
  "services": { "s": { "pool": "p" } },
  "instances": {
    "i1": { "pool": "p", "failure_domain": "r1", "data_centre": "d", "address": "127.0.0.1:1", "slots": 8 },
    "i2": { "pool": "p", "failure_domain": "r2", "data_centre": "d", "address": "127.0.0.1:2", "slots": 8 },
    "i3": { "pool": "p", "failure_domain": "r3", "data_centre": "d", "address": "127.0.0.1:3", "slots": 8 }
  },
  "teams": { "t": { "weight": 1, "limit_slots": 24 }, "u": { "weight": 1, "limit_slots": 24 } },
  "queues": { "q": { "pool": "p" } },
  "keys": { "kt": { "team": "t", "digest": "DIGEST" }, "ku": { "team": "u", "digest": "DIGEST" } }
}"#;

/// File of the platform without findings.
const PLATFORM: &str = r#"{ "version": 3, "limits": {},
"routes": [{ "name": "q", "host": "h", "prefix": "/q/", "service": "p", "sloMs": 600, "timeoutMs": 3000 }],
"services": [{ "name": "p", "healthPath": "/health" }, { "name": "spare", "standby": true }],
"tenants": [{ "name": "t", "apiKeys": ["key"], "weight": 3, "cap": { "cpu": 0 } }]
}"#;

/// Writes files to a new folder and returns it.
fn folder(files: &[(&str, &str)]) -> PathBuf {
    static FOLDERS: AtomicUsize = AtomicUsize::new(0);
    let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
    let name = format!("wasabictl-check-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    for (name, text) in files {
        let text = text.replace("DIGEST", &"0".repeat(64));
        std::fs::write(folder.join(name), text).expect("the folder is writable");
    }
    folder
}

/// Runs a check of the files and returns its exit code, its findings and its summary.
fn check(options: &[&str], files: &[(&str, &str)], platform: bool) -> (i32, String, String) {
    let folder = folder(files);
    let mut command = Command::new(env!("CARGO_BIN_EXE_wasabictl"));
    command.args(options).args(["config", "check"]).current_dir(&folder);
    command.args(if platform { vec!["--platform", files[0].0] } else { vec!["."] });
    let output = command.output().expect("wasabictl can be started");
    std::fs::remove_dir_all(&folder).expect("the folder is writable");
    let text = |bytes| String::from_utf8(bytes).expect("the output is text");
    (output.status.code().expect("the process ends"), text(output.stderr), text(output.stdout))
}

/// Checks that a file after the clean one has exactly these findings, as code and lines.
#[track_caller]
fn folder_has(file: &str, code: i32, findings: &[&str]) {
    let (actual, lines, _) = check(&[], &[("a.json", CLEAN), ("b.json", file)], false);
    assert_eq!(lines.lines().collect::<Vec<_>>(), findings);
    assert_eq!(actual, code);
}

/// Checks that the platform's file has exactly these findings after texts in it have been replaced.
#[track_caller]
fn platform_has(replaced: &[(&str, &str)], code: i32, findings: &[&str]) {
    let change = |text: String, (old, new): &(&str, &str)| {
        assert!(text.contains(old), "{old}");
        text.replacen(old, new, 1)
    };
    let text = replaced.iter().fold(PLATFORM.to_owned(), change);
    let (actual, lines, _) = check(&[], &[("c", &text)], true);
    assert_eq!(lines.lines().collect::<Vec<_>>(), findings);
    assert_eq!(actual, code);
}

#[test]
fn configurations_without_mistakes() {
    folder_has("{}", 0, &[]);
    platform_has(&[], 0, &[]);
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/quickstart/config");
    let mut command = Command::new(env!("CARGO_BIN_EXE_wasabictl"));
    let output = command.args(["config", "check", example]).output().expect("it can be started");
    assert_eq!((output.status.code(), output.stderr), (Some(0), Vec::new()));
}

#[test]
fn team_without_a_key() {
    let text = "no key of the configuration admits the team, and no queue is open for it";
    let line = format!("b.json:1:18: teams.v: warning: {text}");
    folder_has(r#"{ "teams": {"v": { "weight": 1, "limit_slots": 24 } } }"#, 1, &[&line]);
    let line = format!("a.json:9:60: teams.u: warning: {text}");
    folder_has(r#"{ "keys": { "ku": { "withdrawn": true } } }"#, 1, &[&line]);
    folder_has(r#"{ "keys": { "ku": null }, "queues": { "q": { "open_team": "u" } } }"#, 0, &[]);
}

#[test]
fn key_of_a_removed_team_beside_a_limit_above_the_fleet() {
    folder_has(
        r#"{ "teams": { "u": null, "t": { "limit_slots": 25 } } }"#,
        2,
        &[
            "a.json:11:130: keys.ku.team: error: there is no team named \"u\"",
            "b.json:1:47: teams.t.limit_slots: warning: the limit has no effect, since the fleet has 24 slots",
        ],
    );
}

#[test]
fn limit_that_always_goes_before_the_share_and_limit_of_zero() {
    folder_has(
        r#"{ "teams": { "t": { "weight": 3, "limit_slots": 17 }, "u": { "limit_slots": 0 } } }"#,
        1,
        &[
            "b.json:1:31: teams.t.weight: warning: the weight has no effect, since its share is at least 18 \
             slots in every pool and the limit is 17",
            "b.json:1:77: teams.u.limit_slots: warning: a limit of 0 slots lets nothing of the team run",
        ],
    );
}

#[test]
fn pool_without_instances_and_without_work() {
    folder_has(
        r#"{ "pools": { "x": { "unavailable_max": 1 } } }"#,
        1,
        &[
            "b.json:1:19: pools.x: warning: no instance starts in the pool",
            "b.json:1:19: pools.x: warning: no service and no queue uses the pool",
        ],
    );
}

#[test]
fn maintenance_bound_that_allows_no_outage() {
    let text = "no maintenance is possible on 3 of 3 instances: one planned outage and the failure of a whole \
                failure domain need a budget of 2, and it is";
    for budget in [0, 1] {
        let file = format!(r#"{{ "pools": {{ "p": {{ "unavailable_max": {budget} }} }} }}"#);
        let line = format!("b.json:1:40: pools.p.unavailable_max: warning: {text} {budget}");
        folder_has(&file, 1, &[&line]);
    }
}

#[test]
fn queue_smaller_than_one_job_and_work_in_the_spare_pool() {
    let spare = "\"spare\" is the spare pool, whose instances leave it for other pools";
    folder_has(
        r#"{ "queues": { "q": { "jobs_max": 0, "pool": "spare" } } }"#,
        1,
        &[
            "b.json:1:34: queues.q.jobs_max: warning: the queue has no place for a job, so every submission is refused",
            &format!("b.json:1:45: queues.q.pool: warning: {spare}"),
        ],
    );
    let line = format!("b.json:1:32: services.s.pool: warning: {spare}");
    folder_has(r#"{ "services": { "s": { "pool": "spare" } } }"#, 1, &[&line]);
}

#[test]
fn services_and_methods_that_never_match() {
    folder_has(
        r#"{ "services": { "a/b": { "pool": "p", "attempts_max": 1, "repeatable_methods": ["get", "GE T"] } } }"#,
        1,
        &[
            "b.json:1:24: services.a/b: warning: a request names its service by one segment of the path, so a name \
             with '/' never matches",
            "b.json:1:80: services.a/b.repeatable_methods: warning: \"GE T\" never matches, since it is not a valid \
             method",
            "b.json:1:80: services.a/b.repeatable_methods: warning: \"get\" never matches; the method is \"GET\"",
            "b.json:1:80: services.a/b.repeatable_methods: warning: attempts_max is 1, so no request is sent again",
        ],
    );
}

#[test]
fn slots_beyond_the_connections_and_removal_of_nothing() {
    folder_has(
        r#"{ "instances": { "i1": { "connections_max": 7 }, "i9": null } }"#,
        1,
        &[
            "b.json:1:45: instances.i1.connections_max: warning: 7 connections, one for each request, leave some of 8 \
             slots unused",
            "b.json:1:56: instances.i9: warning: null removes nothing, since no earlier file contains the entry",
        ],
    );
}

#[test]
fn name_with_a_line_break() {
    folder_has(
        r#"{ "queues": { "q\n2": { "pool": "p", "jobs_max": 0 } } }"#,
        1,
        &[
            r"b.json:1:50: queues.q\n2.jobs_max: warning: the queue has no place for a job, so every submission is refused",
        ],
    );
}

#[test]
fn json_has_the_findings_of_a_folder() {
    let file = r#"{ "queues": { "q": { "jobs_max": 0 } } }"#;
    let (code, errors, text) = check(&["--json"], &[("a.json", CLEAN), ("b.json", file)], false);
    let printed: serde_json::Value = serde_json::from_str(&text).expect("the output is JSON");
    assert_eq!((code, errors), (1, String::new()));
    assert_eq!((&printed["errors"], &printed["warnings"]), (&0.into(), &1.into()));
    let finding = &printed["findings"][0];
    assert_eq!((&finding["line"], &finding["severity"]), (&1.into(), &"warning".into()));
}

/// Serves one configuration in force to all requests until the process ends.
fn serve_config(body: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback can be bound");
    let address = listener.local_addr().expect("the listener has an address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = BufReader::new(stream.expect("a connection arrives"));
            let mut line = String::new();
            while stream.read_line(&mut line).is_ok_and(|count| count > 2) {
                line.clear();
            }
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            let written = stream.get_mut().write_all(format!("{head}{body}").as_bytes());
            written.expect("the client reads");
        }
    });
    address
}

#[test]
fn granted_key_of_a_team_that_the_folder_no_longer_has() {
    let digest = "0".repeat(64);
    let key = |team: &str| {
        format!(
            r#"{{"generation":7,"entries":[{{"section":"keys","name":"kv","value":{{"team":"{team}","digest":"{digest}","granted":true}}}}]}}"#
        )
    };
    let files = [("a.json", CLEAN), ("b.json", r#"{ "keys": { "ku": null } }"#)];
    let server = serve_config(key("u"));
    let (code, findings, text) = check(&["--server", &server], &files, false);
    assert_eq!((code, &*findings), (0, ""), "the granted key admits the team");
    assert!(text.contains("changes to generation 7\n+ instances/i1 "), "{text}");
    assert!(!text.contains("keys/kv"), "{text}");
    let server = serve_config(key("gone"));
    let (code, findings, text) = check(&["--server", &server], &files, false);
    assert_eq!(code, 2);
    assert!(
        findings.starts_with("(in force):1:1: keys.kv.team: error: there is no team"),
        "{findings}"
    );
    assert!(!text.contains("generation"), "{text}");
}

#[test]
fn daemon_that_does_not_answer_hides_no_finding() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback can be bound");
    let unused = listener.local_addr().expect("the listener has an address").to_string();
    drop(listener);
    for (file, code, word) in [(r#"{ "pools": 3 }"#, 2, "error"), ("{}", 1, "warning")] {
        let warned = r#"{ "queues": { "q": { "jobs_max": 0 } } }"#;
        let files = [("a.json", CLEAN), ("b.json", file), ("c.json", warned)];
        let (actual, lines, _) = check(&["--server", &unused], &files, false);
        assert_eq!(actual, code);
        assert!(lines.contains(&format!(": {word}: ")) && lines.contains("wasabictl: "), "{lines}");
    }
}

#[test]
fn usage_without_exactly_one_source() {
    let check = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wasabictl"));
        command.args(arguments).output().expect("wasabictl can be started").status.code()
    };
    assert_eq!(check(&["config", "check"]), Some(2));
    assert_eq!(check(&["config", "check", ".", "--platform", "x"]), Some(2));
    assert_eq!(check(&["config", "check", "--platform", "/nowhere"]), Some(2));
    let server = ["--server", "127.0.0.1:9", "config", "check", "--platform", "x"];
    assert_eq!(check(&server), Some(2));
}

#[test]
fn platform_file_that_daemons_cannot_read() {
    let comment = "c:1:3: error: key must be a string";
    platform_has(&[("\"version\"", "// text\n\"version\"")], 2, &[comment]);
    platform_has(&[("\"version\": 3, ", "")], 2, &["c:5:1: error: missing field `version`"]);
}

#[test]
fn platform_entries_that_daemons_skip() {
    platform_has(
        &[
            ("\"services\": [", "\"services\": [{ \"name\": 7 }, "),
            ("\"cpu\": 0", "\"cpu\": 18446744073709551615"),
            ("\"sloMs\"", "\"slackFactor\": -1, \"sloMs\""),
        ],
        2,
        &[
            "c:2:12: routes[0]: error: the entry is skipped: slackFactor is out of range",
            "c:3:14: services[0]: error: the entry is skipped: invalid type: integer `7`, expected a string",
            "c:3:29: services[1]: warning: no route leads to the pool",
            "c:4:13: tenants[0]: error: the entry is skipped: weight or cap is out of range",
        ],
    );
}

#[test]
fn platform_routes_that_no_call_matches() {
    let route = |host: &str, prefix: &str| {
        format!(r#"{{"name":"q","host":"{host}","prefix":"{prefix}","service":"p","sloMs":600}}"#)
    };
    let routes = [route("H", "/q/"), route("h:80", "/a"), route("h", "b"), route("h", "/?c")];
    let routes = format!("600, \"timeoutMs\": 3000 }},\n{}]", routes.join(",\n"));
    platform_has(
        &[("600, \"timeoutMs\": 3000 }]", &routes)],
        1,
        &[
            "c:3:1: routes[1]: warning: never matches, since the earlier route \"q\" has the same host and prefix",
            "c:4:20: routes[2].host: warning: the port of a call's host is not compared, so a host with ':' never \
             matches",
            "c:5:33: routes[3].prefix: warning: a path begins with '/', so this prefix never matches",
            "c:6:33: routes[4].prefix: warning: the query of a call is not compared, so this prefix never matches",
        ],
    );
}

#[test]
fn platform_route_to_a_service_that_is_not_listed_or_off() {
    platform_has(
        &[("\"service\": \"p\"", "\"service\": \"x\"")],
        1,
        &[
            "c:2:68: routes[0].service: warning: the pool \"x\" is not listed",
            "c:3:14: services[0]: warning: no route leads to the pool",
        ],
    );
    platform_has(
        &[("\"p\", \"healthPath\"", "\"p\", \"standby\": true, \"healthPath\"")],
        1,
        &[
            "c:2:68: routes[0].service: warning: \"p\" is a standby pool, whose instances are off",
            "c:3:103: services[1].standby: warning: instances of this pool are never used, since \"p\" is the standby \
             pool",
        ],
    );
}

#[test]
fn platform_settings_of_a_queue_that_are_not_used() {
    let route = r#"3000 }, { "name": "q", "host": "h", "prefix": "/", "service": "p", "sloMs": 0, "maxAttempts": 0 }]"#;
    platform_has(
        &[("3000 }]", route)],
        1,
        &[
            "c:2:12: routes[0]: warning: the settings of this route are not used, since those of the route with index \
             1 are in force for the queue \"q\"",
            "c:2:176: routes[1].sloMs: warning: the objective is shorter than the critical path of each job, so no job \
             can be in time",
            "c:2:194: routes[1].maxAttempts: warning: 0 counts as 1",
        ],
    );
}

#[test]
fn platform_tenants_without_keys_and_with_keys_of_others() {
    let tenants = r#""weight": 0.4, "cap": { "mem_mb": 1 } },
{ "name": "u" }, { "name": "v", "apiKeys": ["key", "", "ok"], "weight": 1 }, { "name": "v", "apiKeys": ["k"] }]"#;
    platform_has(
        &[("\"weight\": 3, \"cap\": { \"cpu\": 0 } }]", tenants)],
        1,
        &[
            "c:4:40: tenants[0].apiKeys[0]: warning: the key admits the team \"v\", which has it too",
            "c:4:58: tenants[0].weight: warning: 0.4 counts as 1",
            "c:4:82: tenants[0].cap.mem_mb: warning: the field is not read; the name of the field is \"memMb\"",
            "c:5:1: tenants[1]: warning: the team has no key, so no call belongs to it",
            "c:5:18: tenants[2]: warning: the weight and the cap are not used, since a later entry is named \"v\" too",
            "c:5:52: tenants[2].apiKeys[1]: warning: never matches, since no header can carry this key",
        ],
    );
}

#[test]
fn platform_service_that_is_listed_twice() {
    platform_has(
        &[("{ \"name\": \"spare\"", "{ \"name\": \"p\" }, { \"name\": \"spare\"")],
        1,
        &["c:3:14: services[0]: warning: not used, since a later entry is named \"p\" too"],
    );
}
