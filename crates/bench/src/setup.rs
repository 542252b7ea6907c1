//! Configuration files and daemon settings for a fleet of a given size.

use std::fmt::Write as _;
use std::net::SocketAddr;

use wasabiswitch_kernel::keys::secret_digest;
use wasabiswitch_kernel::settings::{Settings, read_text};

/// Size of a fleet.
#[derive(Clone, Debug)]
pub(crate) struct FleetSpec {
    /// Number of pools, each with one service.
    pub(crate) pools: usize,
    /// Addresses of the instances, which are assigned to the pools round-robin.
    pub(crate) instances: Vec<SocketAddr>,
    /// Number of slots per instance.
    pub(crate) slots: u32,
    /// Number of teams; their weights cycle from 1 to 8.
    pub(crate) teams: usize,
    /// Limit of each team, in slots.
    pub(crate) limit_slots: u32,
}

/// Returns the API key of a team.
pub(crate) fn team_key(team: usize) -> String {
    format!("wsk_t{team}_secret")
}

/// Returns the configuration of a fleet as one file, with its name and its text.
pub(crate) fn config_files(fleet: &FleetSpec) -> Vec<(String, String)> {
    let digest = digest_hex("secret");
    let mut text = String::from("{\"pools\": {");
    for pool in 0..fleet.pools {
        let _ = write!(text, "\"p{pool}\": {{\"unavailable_max\": 1}},");
    }
    text.push_str("}, \"services\": {");
    for pool in 0..fleet.pools {
        let _ = write!(
            text,
            "\"s{pool}\": {{\"pool\": \"p{pool}\", \"repeatable_methods\": [\"GET\"]}},"
        );
    }
    text.push_str("}, \"instances\": {");
    for (index, address) in fleet.instances.iter().enumerate() {
        let _ = write!(
            text,
            "\"i{index}\": {{\"pool\": \"p{}\", \"failure_domain\": \"r{}\", \"data_centre\": \"dc\",
             \"address\": \"{address}\", \"slots\": {}}},",
            index % fleet.pools,
            index / 4,
            fleet.slots
        );
    }
    text.push_str("}, \"teams\": {");
    for team in 0..fleet.teams {
        let (weight, limit) = (team % 8 + 1, fleet.limit_slots);
        let _ = write!(text, "\"t{team}\": {{\"weight\": {weight}, \"limit_slots\": {limit}}},");
    }
    text.push_str("}, \"keys\": {");
    for team in 0..fleet.teams {
        let _ = write!(text, "\"t{team}\": {{\"team\": \"t{team}\", \"digest\": \"{digest}\"}},");
    }
    text.push_str("}}");
    vec![("fleet.json".to_owned(), text)]
}

fn digest_hex(secret: &str) -> String {
    secret_digest(secret).iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Returns the settings of a daemon whose control listener is `control`; the entry listener gets a free port.
pub(crate) fn daemon_settings(name: &str, control: SocketAddr) -> Settings {
    let text = format!(
        r#"{{"daemon": "{name}", "data_centre": "dc", "entry_listen": "127.0.0.1:0",
            "control_listen": "{control}", "peer_key": "peer-key-of-the-bench",
            "platform": {{"embedded": true}}, "drain_notice_ms": 0, "log_level": "off"}}"#
    );
    read_text("settings", &text).expect("the settings are valid")
}
