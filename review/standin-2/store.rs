//! The platform's table store, as PROTOCOL.md describes it, in memory.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request};
use crate::json::{Json, number, object, text};

/// Time that a transaction takes.
const TX_TIME: Duration = Duration::from_millis(4);
/// Maximum number of entries of a transaction.
const ENTRIES_MAX: usize = 100;
/// Maximum size of a transaction's body, in bytes; the page says 1 MB.
const TX_BYTES_MAX: usize = 1 << 20;
/// Maximum size of a row's value before its encoding in base64, in bytes (`rowBytes`).
const ROW_BYTES: usize = 65_536;
const PAGE_ROWS: usize = 500;

type Name = (String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Name, (String, u64)>,
    /// Last change of each row, by version; the second value tells whether it removed the row.
    changes: BTreeMap<u64, Vec<(Name, bool)>>,
    version: u64,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn new() -> Store {
        Store { rows: Mutex::default(), changed: Condvar::new(), started: Instant::now() }
    }

    /// Writes a row of the operator or of a worker; without a value the row is removed.
    pub fn put(&self, table: &str, key: &str, value: Option<&Json>) {
        let mut rows = self.rows.lock().unwrap();
        let name = (table.to_owned(), key.to_owned());
        let value = value.map(|value| encode(value.to_string().as_bytes()));
        apply(&mut rows, vec![(name, value)]);
        self.changed.notify_all();
    }

    pub fn handle(&self, request: &Request) -> Answer {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/-/rows-tx") => self.transact(&request.body),
            ("GET", "/-/rows-get") => self.read(request),
            ("GET", "/-/rows-feed") => self.feed(request),
            _ => Answer::Send(404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &str) -> Answer {
        let Some(tx) = Json::parse(body) else { return Answer::Send(400, "{}".to_owned()) };
        let (expected, puts) = (tx.get("expectedRev").list(), tx.get("puts").list());
        let removes = tx.get("remove").list();
        let entries = expected.len() + puts.len() + removes.len();
        let is_large = |row: &Json| row.get("value").text().len() / 4 * 3 > ROW_BYTES;
        if entries > ENTRIES_MAX || body.len() > TX_BYTES_MAX || puts.iter().any(is_large) {
            return Answer::Send(400, object(vec![("error", text("too large"))]).to_string());
        }
        let name =
            |row: &Json| (row.get("table").text().to_owned(), row.get("key").text().to_owned());
        let is_foreign = |row: &Json| matches!(row.get("table").text(), "op" | "servers");
        if puts.iter().chain(removes).any(is_foreign) {
            return Answer::Send(403, "{}".to_owned());
        }
        std::thread::sleep(TX_TIME);
        let mut rows = self.rows.lock().unwrap();
        let version_of = |rows: &Rows, name: &Name| rows.rows.get(name).map_or(0, |row| row.1);
        let is_met = |row: &Json| row.get("ver").number() == Some(version_of(&rows, &name(row)));
        if !expected.iter().all(is_met) {
            let present = expected.iter().filter_map(|row| {
                let name = name(row);
                rows.rows.get(&name).map(|(value, version)| row_json(&name, Some(value), *version))
            });
            let body = object(vec![
                ("rows", Json::List(present.collect())),
                ("ver", number(rows.version)),
                ("nowMs", self.now()),
            ]);
            return Answer::Send(412, body.to_string());
        }
        let puts = puts.iter().map(|row| (name(row), Some(row.get("value").text().to_owned())));
        let removes = removes.iter().map(|row| (name(row), None));
        apply(&mut rows, puts.chain(removes).collect());
        self.changed.notify_all();
        let body = object(vec![("ver", number(rows.version)), ("nowMs", self.now())]);
        Answer::Send(200, body.to_string())
    }

    fn read(&self, request: &Request) -> Answer {
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, from, to) = (query("table"), query("from"), query("target"));
        let limit = query("limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let rows = self.rows.lock().unwrap();
        let range = rows.rows.range((table.clone(), from)..);
        let mut range = range
            .take_while(|(name, _)| name.0 == table && (to.is_empty() || name.1 < to))
            .map(|(name, (value, version))| row_json(name, Some(value), *version));
        let page: Vec<Json> = range.by_ref().take(limit).collect();
        let body = object(vec![
            ("hasMore", Json::Bool(range.next().is_some())),
            ("rows", Json::List(page)),
            ("ver", number(rows.version)),
            ("nowMs", self.now()),
        ]);
        Answer::Send(200, body.to_string())
    }

    fn feed(&self, request: &Request) -> Answer {
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, after) = (query("table"), query("after").parse().unwrap_or(0u64));
        let wait = Duration::from_millis(query("waitMs").parse().unwrap_or(0).min(30_000));
        let deadline = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changes = rows.changes.range(after + 1..);
            let changed = changes.flat_map(|(version, names)| {
                names.iter().map(move |(name, removed)| (*version, name, *removed))
            });
            let changed: Vec<Json> = changed
                .filter(|(_, name, _)| name.0 == table)
                .filter_map(|(version, name, removed)| match removed {
                    true => Some(row_json(name, None, version)),
                    false => rows.rows.get(name).map(|row| row_json(name, Some(&row.0), row.1)),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let body = object(vec![
                    ("rows", Json::List(changed)),
                    ("ver", number(rows.version)),
                    ("nowMs", self.now()),
                ]);
                return Answer::Send(200, body.to_string());
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn now(&self) -> Json {
        number(self.started.elapsed().as_millis() as u64)
    }
}

fn apply(rows: &mut Rows, changes: Vec<(Name, Option<String>)>) {
    rows.version += 1;
    let version = rows.version;
    for (name, value) in changes {
        for names in rows.changes.values_mut() {
            names.retain(|(changed, _)| *changed != name);
        }
        rows.changes.retain(|_, names| !names.is_empty());
        rows.changes.entry(version).or_default().push((name.clone(), value.is_none()));
        match value {
            Some(value) => drop(rows.rows.insert(name, (value, version))),
            None => drop(rows.rows.remove(&name)),
        }
    }
}

fn row_json(name: &Name, value: Option<&String>, version: u64) -> Json {
    let mut fields = vec![
        ("table", text(&*name.0)),
        ("part", text("")),
        ("key", text(&*name.1)),
        ("ver", number(version)),
    ];
    match value {
        Some(value) => fields.push(("value", text(&**value))),
        None => fields.push(("tombstone", Json::Bool(true))),
    }
    object(fields)
}

fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut encoded = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0u32, |group, byte| group << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let code = (group >> (18 - 6 * digit)) as usize & 63;
            encoded.push(if digit <= chunk.len() { DIGITS[code] as char } else { '=' });
        }
    }
    encoded
}
