//! Evacuation of data centres: the command writes the operator's rows to the platform's store itself.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde_json::json;
use wasabiswitch_kernel::http::client::HttpClient;
use wasabiswitch_kernel::network::Network;
use wasabiswitch_kernel::platform::PlatformError;
use wasabiswitch_platform::evacuation::OperatorStore;

use crate::arguments::{EvacuationAction, EvacuationSet};
use crate::client::{CommandError, exit_for_verdict};
use crate::output::{print_list, print_object};

/// Runs an action on the evacuations.
pub(crate) async fn run(json: bool, action: &EvacuationAction) -> Result<(), CommandError> {
    let address = match action {
        EvacuationAction::Set(set) => set.store,
        EvacuationAction::Lift(lift) => lift.store,
        EvacuationAction::List(list) => list.store,
    };
    let store = OperatorStore::new(address, HttpClient::new(Network::tcp()));
    match action {
        EvacuationAction::Set(action) => set(&store, json, action).await,
        EvacuationAction::Lift(action) => lift(&store, json, &action.data_centre).await,
        EvacuationAction::List(_) => {
            let evacuations = store.evacuations().await.map_err(store_error)?;
            let row = |name: &Arc<str>| json!({ "data_centre": **name });
            let rows: Vec<_> = evacuations.iter().map(row).collect();
            print_list(json, &json!({ "evacuations": rows }), "evacuations");
            Ok(())
        }
    }
}

async fn set(
    store: &OperatorStore,
    json: bool,
    action: &EvacuationSet,
) -> Result<(), CommandError> {
    let name = &*action.data_centre;
    if name.is_empty() {
        return Err(CommandError::bad_input("the name of the data centre is empty"));
    }
    if !action.unlisted {
        let known = store.data_centres().await.map_err(store_error)?;
        if !known.contains(name) {
            return Err(CommandError::bad_input(format!(
                "no listed worker is in the data centre {name}, and nothing was changed; listed: {}; \
                 --unlisted sets the evacuation all the same",
                join(&known)
            )));
        }
    }
    store.set_evacuation(name).await.map_err(store_error)?;
    print_object(json, &json!({ "data_centre": name, "evacuated": true }));
    Ok(())
}

async fn lift(store: &OperatorStore, json: bool, name: &str) -> Result<(), CommandError> {
    let evacuations = store.evacuations().await.map_err(store_error)?;
    if !evacuations.contains(name) {
        return Err(CommandError::bad_input(format!(
            "the data centre {name} is not evacuated, and nothing was changed; evacuated: {}",
            join(&evacuations)
        )));
    }
    store.lift_evacuation(name).await.map_err(store_error)?;
    print_object(json, &json!({ "data_centre": name, "evacuated": false }));
    Ok(())
}

fn join(names: &BTreeSet<Arc<str>>) -> String {
    if names.is_empty() {
        return "none".to_owned();
    }
    names.iter().map(|name| &**name).collect::<Vec<_>>().join(", ")
}

fn store_error(error: PlatformError) -> CommandError {
    CommandError::new(exit_for_verdict(error.verdict), format!("the store: {error}"))
}
