//! The settings file of a daemon, which is JSON with comments; all errors in it are reported at once.
//!
//! docs/operators/settings.md lists the fields with their units and defaults; a test compares that list
//! with [`FIELDS`].

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use wasabiswitch_derive::derives;
use wasabiswitch_policy::fleet::Limits;
use wasabiswitch_policy::ids::{DaemonId, DataCentre};
use wasabiswitch_policy::intake::{ConnectionLimits, FILE_DESCRIPTORS, default_bounds};
use wasabiswitch_policy::session::LeaseTimes;

use crate::document::{Errors, Fields, LocatedError, Node, parse};
use crate::http::intake::IntakeBounds;

/// Platform on which the daemon runs, with its addresses.
#[derives(record)]
pub enum PlatformSettings {
    /// Stand-ins inside the daemon's process.
    Embedded,
    /// Platform that is reached over HTTP at this address.
    Address(SocketAddr),
    /// The users' platform.
    Fleet(Box<FleetSettings>),
}

/// Addresses and limits of the users' platform.
#[derives(record)]
pub struct FleetSettings {
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the instance service, which lists, moves and maintains instances.
    pub instances: SocketAddr,
    /// Address of the advice service, if there is one.
    pub advice: Option<SocketAddr>,
    /// Address on which the daemon answers the readiness probes of the load balancer.
    pub readiness_listen: SocketAddr,
    /// Processors of this daemon's instance, in thousandths of a core; an owner hands the fleet over to a
    /// daemon on a larger instance.
    pub processor_milli: u32,
    /// Limits that the job engine uses for planning.
    pub limits: Limits,
}

/// Size of the instance, and limits on what the listeners take in from clients.
#[derives(value)]
pub struct IntakeSettings {
    /// Memory of the instance, in MiB.
    pub memory_mib: u32,
    /// Descriptors of the instance; `None` for what the process has, at most those of the smallest instance.
    pub descriptors: Option<u32>,
    /// Bytes of bodies that the entry listener holds; `None` for a part of the memory.
    pub bytes_max: Option<u32>,
    /// Connections of the entry listener; `None` for what memory and descriptors allow.
    pub connections_max: Option<u32>,
    /// Connections of the entry listener from one address; zero for no bound.
    pub connections_per_address_max: u32,
    /// Limits on each connection of all listeners.
    pub connection: ConnectionLimits,
}

impl IntakeSettings {
    /// Returns the bounds of the entry listener in a process with the given limit on descriptors.
    ///
    /// The settings go first: a platform may count descriptors by its own rules and state no such limit to the process.
    pub fn entry_bounds(&self, process_descriptors: Option<u32>) -> IntakeBounds {
        let of_process = process_descriptors.unwrap_or(u32::MAX).min(SMALLEST_DESCRIPTORS);
        let descriptors = self.descriptors.unwrap_or(of_process);
        let defaults = default_bounds(self.memory_mib, descriptors);
        let connections_max = self.connections_max.unwrap_or(defaults.entry_connections_max);
        IntakeBounds {
            bytes_max: self.bytes_max.map_or(defaults.entry_bytes_max, u64::from),
            connections_max: connections_max as usize,
            connections_per_address_max: self.connections_per_address_max as usize,
            connection: self.connection,
        }
    }
}

/// The settings of a daemon.
#[derives(record)]
pub struct Settings {
    /// Unique name of the daemon.
    pub daemon: DaemonId,
    /// Data centre of the daemon.
    pub data_centre: DataCentre,
    /// Address of the listener for callers.
    pub entry_listen: SocketAddr,
    /// Address of the listener for operators and peers.
    pub control_listen: SocketAddr,
    /// Secret that authenticates daemons to each other.
    pub peer_key: String,
    /// Platform on which the daemon runs.
    pub platform: PlatformSettings,
    /// Folder that is stored as the first configuration if none is stored yet.
    pub first_config: Option<PathBuf>,
    /// Digest of the key that authenticates an operator while the configuration has no operator's key.
    pub first_operator_digest: Option<String>,
    /// Duration and safety margin of session leases.
    pub lease: LeaseTimes,
    /// Time without contact to either the store or a peer after which the daemon refuses new work.
    pub cut_off: Duration,
    /// Maximum number of requests in the queue of one pool.
    pub queue_max: usize,
    /// Maximum size of the body of a request with an idempotency key, in bytes.
    pub once_body_max_bytes: usize,
    /// Maximum size of a response that is stored for repeats of its request, in bytes.
    pub once_answer_max_bytes: usize,
    /// Time from the moment at which a stopping daemon becomes unready to the closing of the entry listener.
    pub drain_notice: Duration,
    /// Time from the closing of the entry listener after which a stop no longer waits for requests in flight.
    pub stop_timeout: Duration,
    /// Time from the signal of a stop after which the platform kills the daemon, if it does.
    pub termination_grace: Option<Duration>,
    /// Limits on what the listeners take in.
    pub intake: IntakeSettings,
    /// Level of the least severe messages that are logged.
    pub log_level: String,
    /// Number of worker threads; zero for one per core.
    pub worker_threads: usize,
}

/// Name and default value of a field of the settings file, which the operators' documentation lists.
#[derives(value)]
pub struct SettingsField {
    /// Name in the file.
    pub name: &'static str,
    /// Default value as text, or `required`.
    pub default: &'static str,
}

/// All fields at the top level of a settings file.
pub const FIELDS: &[SettingsField] = &[
    SettingsField { name: "daemon", default: "required" },
    SettingsField { name: "data_centre", default: "required" },
    SettingsField { name: "entry_listen", default: "required" },
    SettingsField { name: "control_listen", default: "required" },
    SettingsField { name: "peer_key", default: "required" },
    SettingsField { name: "platform", default: "required" },
    SettingsField { name: "first_config", default: "none" },
    SettingsField { name: "first_operator_digest", default: "none" },
    SettingsField { name: "lease_ms", default: "6000" },
    SettingsField { name: "lease_margin_ms", default: "2000" },
    SettingsField { name: "cut_off_ms", default: "3000" },
    SettingsField { name: "queue_max", default: "1024" },
    SettingsField { name: "once_body_max_bytes", default: "1048576" },
    SettingsField { name: "once_answer_max_bytes", default: "65536" },
    SettingsField { name: "drain_notice_ms", default: "1000" },
    SettingsField { name: "stop_timeout_ms", default: "30000" },
    SettingsField { name: "termination_grace_s", default: "none" },
    SettingsField { name: "memory_mib", default: "160" },
    SettingsField { name: "descriptors_max", default: "4100" },
    SettingsField { name: "intake_bytes_max", default: "an eighth of the memory" },
    SettingsField { name: "connections_max", default: "by memory and descriptors" },
    SettingsField { name: "connections_per_address_max", default: "0" },
    SettingsField { name: "head_max_bytes", default: "16384" },
    SettingsField { name: "headers_max", default: "100" },
    SettingsField { name: "head_timeout_ms", default: "10000" },
    SettingsField { name: "body_timeout_ms", default: "15000" },
    SettingsField { name: "body_pieces_max", default: "65536" },
    SettingsField { name: "log_level", default: "info" },
    SettingsField { name: "worker_threads", default: "0" },
];

/// Valid values of `log_level`.
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// Minimum duration of a lease, which leaves time for three renewals.
const LEASE_MIN: Duration = Duration::from_millis(300);

/// Memory of the smallest instance, in MiB, which is assumed for an instance whose settings do not state it.
const SMALLEST_MEMORY_MIB: u32 = 160;
/// Memory below which no budget holds the largest submission.
const MEMORY_MIN_MIB: u32 = 16;
/// Descriptors of the smallest instance, which are assumed for an instance whose settings do not state them.
const SMALLEST_DESCRIPTORS: u32 = 4_100;
/// Minimum of the budget for bodies, in bytes: room for several of the largest submissions.
const INTAKE_BYTES_MIN: u32 = 1 << 20;

/// Minimum length of the peer key, in bytes.
const PEER_KEY_MIN_BYTES: usize = 16;

/// Error that occurred when a settings file was read.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be opened.
    #[error("{path}: {error}")]
    Io {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The content of the file has errors, which are sorted by position.
    #[error("{}", .0.iter().map(LocatedError::to_string).collect::<Vec<_>>().join("\n"))]
    Content(Errors),
}

/// Reads the settings file at `path`.
pub fn read_file(path: &Path) -> Result<Settings, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| SettingsError::Io { path: path.to_owned(), error })?;
    let name = path.display().to_string();
    read_text(&name, &text).map_err(SettingsError::Content)
}

/// Reads settings from `text`; `file` is the name used in errors.
pub fn read_text(file: &str, text: &str) -> Result<Settings, Errors> {
    let tree = parse(file, text).map_err(|error| vec![error])?;
    let Node::Object(object) = &tree.node else {
        let detail = format!("expected an object, found {}", tree.node.type_name());
        let position = tree.position;
        return Err(vec![LocatedError { position, field: String::new(), detail }]);
    };
    let mut errors = Errors::new();
    let mut fields = Fields::new("", &tree.position, object, &mut errors);
    let settings = read_fields(&mut fields);
    fields.finish();
    errors.sort();
    if errors.is_empty() { Ok(settings) } else { Err(errors) }
}

fn read_fields(fields: &mut Fields<'_>) -> Settings {
    let millis = |fields: &mut Fields<'_>, name: &str, default_ms: u64| {
        fields.millis(name).unwrap_or(Duration::from_millis(default_ms))
    };
    let lease = millis(fields, "lease_ms", 6_000);
    if lease < LEASE_MIN {
        fields.reject(
            "lease_ms",
            format!("a lease must be at least {} ms long", LEASE_MIN.as_millis()),
        );
    }
    Settings {
        daemon: fields.required_string("daemon").into(),
        data_centre: fields.required_string("data_centre").into(),
        entry_listen: address(fields, "entry_listen"),
        control_listen: address(fields, "control_listen"),
        peer_key: peer_key(fields),
        platform: platform(fields),
        first_config: fields.string("first_config").map(PathBuf::from),
        first_operator_digest: fields.string("first_operator_digest"),
        lease: LeaseTimes { lease, margin: millis(fields, "lease_margin_ms", 2_000) },
        cut_off: millis(fields, "cut_off_ms", 3_000),
        queue_max: size(fields, "queue_max", 1_024),
        once_body_max_bytes: size(fields, "once_body_max_bytes", 1 << 20),
        once_answer_max_bytes: size(fields, "once_answer_max_bytes", 64 << 10),
        drain_notice: millis(fields, "drain_notice_ms", 1_000),
        stop_timeout: millis(fields, "stop_timeout_ms", 30_000),
        termination_grace: fields.decimal_seconds("termination_grace_s"),
        intake: intake(fields),
        log_level: log_level(fields),
        worker_threads: size(fields, "worker_threads", 0),
    }
}

/// Reads the limits on what the listeners take in.
fn intake(fields: &mut Fields<'_>) -> IntakeSettings {
    // The platform states the memory with a fraction where it has one.
    let memory_mib = fields.decimal("memory_mib").map_or(SMALLEST_MEMORY_MIB, |mib| mib as u32);
    if memory_mib < MEMORY_MIN_MIB {
        fields.reject("memory_mib", format!("expected at least {MEMORY_MIN_MIB}"));
    }
    let mut bounded = |name: &str, default: u32, min: u32, max: u32| {
        let value = fields.number_u32(name).unwrap_or(default);
        if (min..=max).contains(&value) {
            return value;
        }
        fields.reject(name, format!("expected a whole number from {min} to {max}"));
        default
    };
    let millis = |value: u32| Duration::from_millis(u64::from(value));
    let connection = ConnectionLimits {
        head_max_bytes: bounded("head_max_bytes", 16 << 10, 8 << 10, 1 << 20) as usize,
        headers_max: bounded("headers_max", 100, 8, 10_000) as usize,
        head_timeout: millis(bounded("head_timeout_ms", 10_000, 100, 3_600_000)),
        body_timeout: millis(bounded("body_timeout_ms", 15_000, 100, 3_600_000)),
        body_pieces_max: bounded("body_pieces_max", 64 << 10, 1 << 10, u32::MAX),
    };
    let descriptors = fields.number_u32("descriptors_max");
    let descriptors_min = 2 * FILE_DESCRIPTORS;
    if descriptors.is_some_and(|descriptors| descriptors < descriptors_min) {
        fields.reject("descriptors_max", format!("expected at least {descriptors_min}"));
    }
    let memory_half = (u64::from(memory_mib) << 20) / 2;
    let bytes_limit = u32::try_from(memory_half).unwrap_or(u32::MAX);
    let usable_descriptors = descriptors.unwrap_or(SMALLEST_DESCRIPTORS).max(descriptors_min);
    let connections_limit = usable_descriptors - FILE_DESCRIPTORS;
    let mut optional = |name: &str, min: u32, max: u32, reason: &str| {
        let value = fields.number_u32(name)?;
        if (min..=max).contains(&value) {
            return Some(value);
        }
        fields.reject(name, format!("expected a whole number from {min} to {max}, {reason}"));
        None
    };
    let half = "half of memory_mib";
    let bytes_max = optional("intake_bytes_max", INTAKE_BYTES_MIN, bytes_limit, half);
    let rest = "descriptors_max less 200 for files";
    let connections_max = optional("connections_max", 1, connections_limit, rest);
    let connections_per_address_max = size(fields, "connections_per_address_max", 0) as u32;
    IntakeSettings {
        memory_mib,
        descriptors,
        bytes_max,
        connections_max,
        connections_per_address_max,
        connection,
    }
}

fn size(fields: &mut Fields<'_>, name: &str, default: usize) -> usize {
    fields.number_u32(name).map_or(default, |number| number as usize)
}

fn address(fields: &mut Fields<'_>, name: &str) -> SocketAddr {
    let text = fields.required_string(name);
    text.parse().unwrap_or_else(|_| {
        if !text.is_empty() {
            fields.reject(name, format!("{text:?} is not an IP address with a port"));
        }
        SocketAddr::from(([127, 0, 0, 1], 0))
    })
}

fn optional_address(fields: &mut Fields<'_>, name: &str) -> Option<SocketAddr> {
    let text = fields.string(name)?;
    let address = text.parse().ok();
    if address.is_none() {
        fields.reject(name, format!("{text:?} is not an IP address with a port"));
    }
    address
}

fn peer_key(fields: &mut Fields<'_>) -> String {
    let key = fields.required_string("peer_key");
    if !key.is_empty() && key.len() < PEER_KEY_MIN_BYTES {
        fields.reject("peer_key", format!("the key must have at least {PEER_KEY_MIN_BYTES} bytes"));
    }
    key
}

fn log_level(fields: &mut Fields<'_>) -> String {
    let level = fields.string("log_level").unwrap_or_else(|| "info".to_owned());
    if !LOG_LEVELS.contains(&level.as_str()) {
        fields.reject("log_level", format!("expected one of {}", LOG_LEVELS.join(", ")));
    }
    level
}

fn platform(fields: &mut Fields<'_>) -> PlatformSettings {
    let read = fields.object("platform", |inner| {
        if let Some(fleet) = inner.object("fleet", fleet) {
            return PlatformSettings::Fleet(Box::new(fleet));
        }
        let embedded = inner.flag("embedded");
        let address = inner.string("address");
        match (embedded, address) {
            (true, None) => PlatformSettings::Embedded,
            (false, Some(text)) => match text.parse() {
                Ok(address) => PlatformSettings::Address(address),
                Err(_) => {
                    let detail = format!("{text:?} is not an IP address with a port");
                    inner.reject("address", detail);
                    PlatformSettings::Embedded
                }
            },
            _ => {
                let detail = "expected \"embedded\": true, an address, or fleet".to_owned();
                inner.reject("address", detail);
                PlatformSettings::Embedded
            }
        }
    });
    read.unwrap_or_else(|| {
        fields.reject("platform", "expected an object with embedded, address or fleet".to_owned());
        PlatformSettings::Embedded
    })
}

/// Reads the settings of the users' platform; absent limits take the usual values of that platform.
fn fleet(fields: &mut Fields<'_>) -> FleetSettings {
    let seconds = |fields: &mut Fields<'_>, name: &str, default_s: f64| {
        fields.decimal_seconds(name).unwrap_or(Duration::from_secs_f64(default_s))
    };
    FleetSettings {
        store: address(fields, "store"),
        instances: address(fields, "instances"),
        advice: optional_address(fields, "advice"),
        readiness_listen: address(fields, "readiness_listen"),
        processor_milli: processor_milli(fields),
        limits: Limits {
            status_retention: seconds(fields, "status_kept_s", 120.0),
            lease_max: fields.millis("lease_max_ms").unwrap_or(Duration::from_secs(10)),
            move_time: seconds(fields, "move_s", 1.5),
            maintenance_time: seconds(fields, "upkeep_s", 2.0),
            instance_calls_per_s: fields.decimal("instance_calls_per_s").unwrap_or(64.0) as u32,
        },
    }
}

/// Returns the number of cores that the instance reports times the share of each that it provides, in
/// thousandths of a core.
fn processor_milli(fields: &mut Fields<'_>) -> u32 {
    let share = fields.decimal("processor_share").unwrap_or(1.0);
    let cores = fields.decimal("processor_cores").unwrap_or(1.0);
    ((share * cores * 1_000.0).round() as u32).max(1)
}
