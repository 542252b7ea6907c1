//! Bounds of the listeners, and the limits that a client can reach.

use std::sync::Arc;

use wasabiswitch_policy::intake::ConnectionLimits;

use super::Intake;
use crate::settings::IntakeSettings;
use crate::tasks::TaskTree;

/// Part of the entry listener's connections that the control listener has: one in this number.
const CONTROL_DIVISOR: usize = 2;
/// Number of connections of the readiness listener.
const PROBES_MAX: usize = 32;

/// Bounds of a listener.
#[derive(Clone, Copy, Debug)]
pub struct IntakeBounds {
    /// Bytes of bodies that are being read or held.
    pub bytes_max: u64,
    /// Number of connections.
    pub connections_max: usize,
    /// Number of connections from one address; zero for no bound.
    pub connections_per_address_max: usize,
    /// Limits on each connection.
    pub connection: ConnectionLimits,
}

/// Intakes of all listeners of a daemon.
#[derive(Debug)]
pub struct Intakes {
    /// Listener for callers.
    pub entry: Arc<Intake>,
    /// Listener for operators and peers.
    pub control: Arc<Intake>,
    /// Listener for the probes of the load balancer.
    pub readiness: Arc<Intake>,
}

impl Intakes {
    /// Creates the intakes as the settings have them; `tasks` are those of the daemon.
    pub fn new(settings: &IntakeSettings, tasks: &TaskTree) -> Intakes {
        let entry_bounds = settings.entry_bounds(process_descriptors());
        let control_bounds = IntakeBounds {
            connections_max: (entry_bounds.connections_max / CONTROL_DIVISOR).max(1),
            connections_per_address_max: 0,
            ..entry_bounds
        };
        let readiness_bounds =
            IntakeBounds { bytes_max: 0, connections_max: PROBES_MAX, ..control_bounds };
        Intakes {
            entry: Intake::new("entry", entry_bounds, tasks.clone()),
            control: Intake::new("control", control_bounds, tasks.clone()),
            readiness: Intake::new("readiness", readiness_bounds, tasks.clone()),
        }
    }
}

/// Returns the limit of the process on open descriptors, if the system states one.
fn process_descriptors() -> Option<u32> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Limit for which a listener refused a request or closed a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// Number of connections.
    Connections,
    /// Number of connections from one address.
    Address,
    /// Budget of bytes.
    Budget,
    /// Size or number of headers of a head.
    HeadSize,
    /// Time of a head.
    HeadTime,
    /// Time of a body.
    BodyTime,
    /// Number of pieces of a body.
    BodyPieces,
}

impl Limit {
    /// Returns the label of the metric and the log.
    pub(super) fn label(self) -> &'static str {
        match self {
            Limit::Connections => "connections",
            Limit::Address => "connections-per-address",
            Limit::Budget => "budget",
            Limit::HeadSize => "head-size",
            Limit::HeadTime => "head-time",
            Limit::BodyTime => "body-time",
            Limit::BodyPieces => "body-pieces",
        }
    }
}
