//! Stand-ins for the platform and the upstreams inside the daemon's process, for a first look.
//!
//! The daemon talks to them over loopback sockets, as it would to the real ones. Each instance of the
//! first configuration gets an upstream at its address.

use std::net::SocketAddr;

use tokio::net::TcpListener;
use wasabiswitch_kernel::clock::Clock;
use wasabiswitch_kernel::config_document::read_folder;
use wasabiswitch_kernel::settings::Settings;
use wasabiswitch_kernel::tasks::TaskTree;
use wasabiswitch_standin::StandIn;
use wasabiswitch_standin::http::serve;
use wasabiswitch_standin::upstream::Upstream;

use crate::Failure;

/// Starts the stand-ins and returns the address of the platform's interface.
pub(crate) async fn start(settings: &Settings, tasks: &TaskTree) -> Result<SocketAddr, Failure> {
    let standin = StandIn::new(Clock::tokio());
    if let Some(folder) = &settings.first_config {
        for (id, instance) in &read_folder(folder)?.config.instances {
            standin.with_instances(|instances| instances.add(id));
            // The address was checked with the folder.
            if let Ok(address) = instance.address.parse() {
                Upstream::start_at(id, address, tasks).await.map_err(|error| {
                    std::io::Error::other(format!("cannot listen on {address}: {error}"))
                })?;
            }
        }
    }
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    let stop = tasks.stop_token();
    tasks.spawn("platform stand-in", async move {
        if let Err(error) = serve(standin, listener, stop).await {
            log::error!("the platform stand-in failed: {error}");
        }
    });
    log::info!("stand-ins of the platform are on {address}; what they hold is lost at the end");
    Ok(address)
}
