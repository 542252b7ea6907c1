//! API keys of teams and operators: listing, granting and withdrawal.
//!
//! Keys are entries of the configuration, so a withdrawn key stops working as soon as the
//! configuration without it is in force. The secret part is shown once, to the operator who grants
//! it.

use std::sync::Arc;

use http::Method;
use serde::Deserialize;
use serde_json::json;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::http::control::{Access, ControlReply, ControlRequest, ControlResult};
use wasabiswitch_kernel::http::problem::{CONFLICT, INTERNAL, NOT_FOUND, Problem};
use wasabiswitch_kernel::keys::{generate, parse_digest};
use wasabiswitch_kernel::plugin::{Plugin, Registration};
use wasabiswitch_kernel::tables::{ActiveConfig, KeyEntry};
use wasabiswitch_policy::config::Principal;

use crate::config::{Applied, Proposal, apply_changes};
use crate::route::{control, json_body};

/// Maximum number of attempts to apply a change while other changes come first.
const CONFLICT_ATTEMPTS_MAX: u32 = 8;

fn plugin() -> Plugin {
    Plugin {
        control_routes: vec![
            control(Method::GET, "/v1/keys", Access::Operator, list),
            control(Method::POST, "/v1/keys", Access::Operator, grant),
            control(Method::DELETE, "/v1/keys/:id", Access::Operator, withdraw),
        ],
        on_config: load_keys,
        ..Plugin::new("keys", &["config"])
    }
}

inventory::submit! { Registration(plugin) }

fn load_keys(kernel: &Kernel, active: &ActiveConfig) {
    let mut keys = kernel.tables.keys.lock();
    keys.retain(|id, _| active.config.active_key(id).is_some());
    for (id, key) in active.config.keys.iter().filter(|(_, key)| !key.withdrawn) {
        if let Some(digest) = parse_digest(&key.digest) {
            keys.set(id, KeyEntry { holder: key.holder.clone(), digest });
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GrantBody {
    team: Option<String>,
    operator: Option<String>,
}

async fn list(kernel: Arc<Kernel>, _: ControlRequest) -> ControlResult {
    let active = kernel.config();
    let keys: Vec<serde_json::Value> = active
        .config
        .keys
        .iter()
        .filter(|(_, key)| !key.withdrawn)
        .map(|(id, key)| match &key.holder {
            Principal::Team(team) => json!({ "id": id, "team": team }),
            Principal::Operator(operator) => json!({ "id": id, "operator": operator }),
        })
        .collect();
    Ok(ControlReply::json(&json!({ "keys": keys })))
}

async fn grant(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    let body: GrantBody = json_body(&request.body)?;
    let id = format!("{:08x}", fastrand::u32(..));
    let key = generate(&id).map_err(|error| {
        Problem::not_run(INTERNAL, format!("no random numbers are to be had: {error}"))
    })?;
    let mut entry = serde_json::Map::new();
    entry.insert("digest".to_owned(), key.digest.into());
    entry.insert("granted".to_owned(), true.into());
    entry.extend(body.team.map(|team| ("team".to_owned(), team.into())));
    entry.extend(body.operator.map(|operator| ("operator".to_owned(), operator.into())));
    let text = serde_json::Value::Object(entry).to_string();
    let applied = change_key(&kernel, &id, Some(text), &request.operator).await?;
    Ok(ControlReply::json(&json!({
        "id": id,
        "key": key.text,
        "generation": applied.generation,
    })))
}

async fn withdraw(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    let id = request.param("id");
    let active = kernel.config();
    let unknown = || Problem::not_run(NOT_FOUND, format!("there is no key {id:?}"));
    let key = active.config.active_key(id).ok_or_else(unknown)?;
    let config_key = ("keys".to_owned(), id.to_owned());
    // A granted key is in no configuration file, so no later apply can restore a deleted entry.
    let text = if key.granted {
        None
    } else {
        active.entries.get(&config_key).map(|text| mark_withdrawn(text))
    };
    let applied = change_key(&kernel, id, text, &request.operator).await?;
    Ok(ControlReply::json(&json!({ "id": id, "generation": applied.generation })))
}

fn mark_withdrawn(text: &str) -> String {
    let mut value: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
    value["withdrawn"] = true.into();
    value.to_string()
}

/// Applies a change of one key. A conflict with another change is retried, since a change of one
/// key does not depend on the rest of the configuration.
async fn change_key(
    kernel: &Arc<Kernel>,
    id: &str,
    text: Option<String>,
    operator: &str,
) -> Result<Applied, Problem> {
    let mut attempts = 1;
    loop {
        let proposal = Proposal {
            base: kernel.config().generation,
            changes: vec![(("keys".to_owned(), id.to_owned()), text.clone())],
            operator: operator.to_owned(),
        };
        match apply_changes(kernel, proposal).await {
            Err(problem) if problem.code == CONFLICT && attempts < CONFLICT_ATTEMPTS_MAX => {
                attempts += 1;
                let _ = crate::config::poll_store(kernel).await;
            }
            outcome => return outcome,
        }
    }
}
