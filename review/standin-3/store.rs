//! The platform's store: rows in tables, transactions under conditions, range reads and the feed of changes.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Request};
use crate::json::{Json, object};

/// Largest value of a row, in bytes (`rowBytes`).
const ROW_BYTES: usize = 65_536;
/// Time that a transaction takes (`txMs`).
const TX_TIME: Duration = Duration::from_millis(4);

type Name = (String, String, String);

#[derive(Default)]
struct State {
    /// Value and version of each row; a row that was removed has no value.
    rows: BTreeMap<Name, (Option<String>, u64)>,
    version: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Time by which each answer to a write is late, in milliseconds.
    pub slow_ms: Mutex<u64>,
    /// Time and reason of each write that the store has refused as invalid.
    pub refused: Mutex<Vec<(Instant, String)>>,
}

impl Store {
    /// Writes a row of the operator or of a worker.
    pub fn put(&self, table: &str, key: &str, value: Option<&Json>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let value = value.map(|value| encode_base64(value.write().as_bytes()));
        state.rows.insert((table.into(), String::new(), key.into()), (value, version));
        self.changed.notify_all();
    }

    pub fn handle(&self, request: &Request) -> Answer {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/-/rows-tx") => self.commit(&request.body),
            ("GET", "/-/rows-get") => self.read(request),
            ("GET", "/-/rows-feed") => self.feed(request),
            _ => Answer::Reply(404, "{}".into()),
        }
    }

    fn commit(&self, body: &[u8]) -> Answer {
        thread::sleep(TX_TIME);
        let Some(body) = Json::parse(body) else { return Answer::Reply(400, "{}".into()) };
        let entries = |name: &str| body.get(name).items().to_vec();
        let (expected, puts, removes) =
            (entries("expectedRev"), entries("puts"), entries("remove"));
        let count = expected.len() + puts.len() + removes.len();
        let written = puts.iter().chain(&removes);
        if written.clone().any(|row| matches!(row.get("table").str(), "op" | "servers")) {
            return Answer::Reply(403, "{}".into());
        }
        let too_long = puts.iter().find(|row| decoded_length(row.get("value").str()) > ROW_BYTES);
        if count > 100 || body.write().len() > 1_000_000 || too_long.is_some() {
            let reason = match too_long {
                Some(row) => format!(
                    "row {}/{} has {} bytes",
                    row.get("table").str(),
                    row.get("key").str(),
                    decoded_length(row.get("value").str())
                ),
                None => format!("{count} entries, {} bytes", body.write().len()),
            };
            self.refused.lock().unwrap().push((Instant::now(), reason));
            return Answer::Reply(400, "{}".into());
        }
        let mut state = self.state.lock().unwrap();
        let version_of = |state: &State, row: &Json| {
            state
                .rows
                .get(&name_of(row))
                .filter(|(value, _)| value.is_some())
                .map_or(0, |row| row.1)
        };
        if expected.iter().any(|row| row.get("ver").u64() != Some(version_of(&state, row))) {
            let rows = expected.iter().filter_map(|row| {
                let name = name_of(row);
                let found = state.rows.get(&name).filter(|(value, _)| value.is_some())?;
                Some(row_json(&name, found))
            });
            return Answer::Reply(412, object(vec![("rows", Json::Array(rows.collect()))]).write());
        }
        state.version += 1;
        let version = state.version;
        for row in &puts {
            let value = Some(row.get("value").str().to_owned());
            state.rows.insert(name_of(row), (value, version));
        }
        for row in &removes {
            state.rows.insert(name_of(row), (None, version));
        }
        self.changed.notify_all();
        drop(state);
        let slow_ms = *self.slow_ms.lock().unwrap();
        thread::sleep(Duration::from_millis(slow_ms));
        Answer::Reply(200, with_version(Vec::new(), version))
    }

    fn read(&self, request: &Request) -> Answer {
        thread::sleep(TX_TIME);
        let state = self.state.lock().unwrap();
        let limit: usize = request.parameter("limit").parse().unwrap_or(500);
        let (table, part, from) =
            (request.parameter("table"), request.parameter("part"), request.parameter("from"));
        let in_range = |(name, row): &(&Name, &(Option<String>, u64))| {
            name.0 == table && name.1 == part && name.2.as_str() >= from && row.0.is_some()
        };
        let rows: Vec<Json> = state
            .rows
            .iter()
            .filter(in_range)
            .take(limit.min(500) + 1)
            .map(|(name, row)| row_json(name, row))
            .collect();
        let more = rows.len() > limit.min(500);
        let rows = rows.into_iter().take(limit.min(500)).collect();
        let fields = vec![("rows", Json::Array(rows)), ("hasMore", Json::Bool(more))];
        Answer::Reply(200, with_version(fields, state.version))
    }

    fn feed(&self, request: &Request) -> Answer {
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.parameter("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let table = request.parameter("table");
        let mut state = self.state.lock().unwrap();
        loop {
            let is_new =
                |(name, row): &(&Name, &(Option<String>, u64))| name.0 == table && row.1 > after;
            let mut rows: Vec<_> = state.rows.iter().filter(is_new).collect();
            rows.sort_by_key(|(_, row)| row.1);
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let rows = rows.into_iter().map(|(name, row)| row_json(name, row)).collect();
                let fields = vec![("rows", Json::Array(rows))];
                return Answer::Reply(200, with_version(fields, state.version));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn name_of(row: &Json) -> Name {
    let field = |name: &str| row.get(name).str().to_owned();
    (field("table"), field("part"), field("key"))
}

fn row_json((table, part, key): &Name, (value, version): &(Option<String>, u64)) -> Json {
    let mut fields = vec![
        ("table", Json::text(table)),
        ("part", Json::text(part)),
        ("key", Json::text(key)),
        ("ver", Json::number(*version)),
    ];
    match value {
        Some(value) => fields.push(("value", Json::text(value))),
        None => fields.push(("tombstone", Json::Bool(true))),
    }
    object(fields)
}

fn with_version(mut fields: Vec<(&str, Json)>, version: u64) -> String {
    fields.push(("ver", Json::number(version)));
    fields.push(("nowMs", Json::number(1)));
    object(fields).write()
}

fn decoded_length(base64: &str) -> usize {
    base64.len() / 4 * 3 - base64.bytes().rev().take_while(|byte| *byte == b'=').count()
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(char::from(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
