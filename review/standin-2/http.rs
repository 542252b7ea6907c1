//! HTTP/1.1 servers with a thread per connection, and a client.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

pub enum Answer {
    /// A status and a JSON body.
    Send(u16, String),
    /// No answer ever arrives; the connection stays open.
    Never,
}

type Handler = dyn Fn(Request) -> Answer + Send + Sync;

/// An open connection.
struct Connection {
    stream: TcpStream,
    /// Whether a request waits for its answer.
    is_busy: AtomicBool,
    /// Whether nothing that arrives is read any more.
    is_silent: AtomicBool,
}

/// A listener that can be switched off, which resets its connections and refuses new ones.
pub struct Server {
    pub address: SocketAddr,
    handler: Arc<Handler>,
    is_up: Arc<AtomicBool>,
    is_dark: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<Arc<Connection>>>>,
}

impl Server {
    pub fn start(handler: impl Fn(Request) -> Answer + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        let server = Server {
            address,
            handler: Arc::new(handler),
            is_up: Arc::new(AtomicBool::new(true)),
            is_dark: Arc::new(AtomicBool::new(false)),
            connections: Arc::default(),
        };
        let (handler, is_up) = (server.handler.clone(), server.is_up.clone());
        let is_dark = server.is_dark.clone();
        let connections = server.connections.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_dark.load(Ordering::SeqCst) {
                    // A packet that opens a connection to a dark machine is lost; the daemons wait 0.5 s for its answer.
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(500));
                        let _ = stream.shutdown(Shutdown::Both);
                    });
                    continue;
                }
                if !is_up.load(Ordering::SeqCst) {
                    let _ = stream.shutdown(Shutdown::Both);
                    continue;
                }
                let Ok(copy) = stream.try_clone() else { continue };
                let connection = Arc::new(Connection {
                    stream: copy,
                    is_busy: AtomicBool::new(false),
                    is_silent: AtomicBool::new(false),
                });
                connections.lock().unwrap().push(connection.clone());
                let (handler, connections) = (handler.clone(), connections.clone());
                thread::spawn(move || {
                    serve(stream, &connection, &handler);
                    connections.lock().unwrap().retain(|other| !Arc::ptr_eq(other, &connection));
                });
            }
        });
        server
    }

    /// Ends all connections, and closes each new one at once until the server is up again.
    pub fn set_up(&self, is_up: bool) {
        self.is_up.store(is_up, Ordering::SeqCst);
        if !is_up {
            for connection in self.connections.lock().unwrap().drain(..) {
                let _ = connection.stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Lets the machine go dark: all connections go silent without a reset, and new ones are not answered.
    pub fn set_dark(&self, is_dark: bool) {
        self.is_dark.store(is_dark, Ordering::SeqCst);
        if is_dark {
            for connection in self.connections.lock().unwrap().iter() {
                connection.is_silent.store(true, Ordering::SeqCst);
            }
        }
    }

    /// Returns whether a request is in progress.
    pub fn is_busy(&self) -> bool {
        let connections = self.connections.lock().unwrap();
        connections.iter().any(|connection| connection.is_busy.load(Ordering::SeqCst))
    }

    /// Lets the connections without a request in progress go silent for good, without a reset; returns their number and
    /// that of the others.
    pub fn silence_idle(&self) -> (usize, usize) {
        let connections = self.connections.lock().unwrap();
        let is_open = |connection: &&Arc<Connection>| !connection.is_silent.load(Ordering::SeqCst);
        let (busy, idle): (Vec<_>, Vec<_>) = connections
            .iter()
            .filter(is_open)
            .partition(|connection| connection.is_busy.load(Ordering::SeqCst));
        for connection in &idle {
            connection.is_silent.store(true, Ordering::SeqCst);
        }
        (idle.len(), busy.len())
    }
}

fn serve(stream: TcpStream, connection: &Connection, handler: &Arc<Handler>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some((head, headers)) = read_head(&mut reader) {
        connection.is_busy.store(true, Ordering::SeqCst);
        let mut parts = head.split(' ');
        let method = parts.next().unwrap_or("").to_owned();
        let target = parts.next().unwrap_or("").to_owned();
        let Some(body) = read_body(&mut reader, &headers) else { return };
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = query.map(|(name, value)| (name.to_owned(), decode(value))).collect();
        let request = Request { method, path: path.to_owned(), query, headers, body };
        let answer = match connection.is_silent.load(Ordering::SeqCst) {
            true => Answer::Never,
            false => handler(request),
        };
        match answer {
            // The machine has gone dark meanwhile.
            Answer::Send(..) if connection.is_silent.load(Ordering::SeqCst) => {
                let _ = reader.read_to_end(&mut Vec::new());
                return;
            }
            Answer::Send(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\n\
                     content-length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
                connection.is_busy.store(false, Ordering::SeqCst);
            }
            Answer::Never => {
                // Waits until the other side closes.
                let _ = reader.read_to_end(&mut Vec::new());
                return;
            }
        }
    }
}

fn decode(value: &str) -> String {
    let (bytes, mut decoded, mut at) = (value.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let code = value.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|length| *length > 0)?;
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
            None => return Some((first.trim_end().to_owned(), headers)),
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &BTreeMap<String, String>) -> Option<String> {
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

/// Sends a request on a new connection; `None` if no whole answer arrives in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    stream.write_all((head + "connection: close\r\n\r\n" + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers)?))
}
