//! In-process stand-ins for the platform and the upstreams, for trying the daemon out without either.
//!
//! The daemon reaches them over loopback sockets, like a real platform and real upstreams. An upstream is started for
//! each instance of the first configuration, at the instance's address.

use std::net::SocketAddr;

use tokio::net::TcpListener;
use wasabiswitch_kernel::clock::Clock;
use wasabiswitch_kernel::config_document::read_folder;
use wasabiswitch_kernel::settings::Settings;
use wasabiswitch_kernel::tasks::TaskTree;
use wasabiswitch_standin::StandIn;
use wasabiswitch_standin::http::serve;
use wasabiswitch_standin::upstream::Upstream;

use crate::DaemonError;

/// Starts the stand-ins and returns the address of the platform's interface.
pub(crate) async fn start(
    settings: &Settings,
    tasks: &TaskTree,
) -> Result<SocketAddr, DaemonError> {
    let standin = StandIn::new(Clock::tokio());
    if let Some(folder) = &settings.first_config {
        for (id, instance) in &read_folder(folder)?.config.instances {
            standin.with_instances(|instances| instances.add(id));
            // `read_folder` has validated the address.
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
            log::error!("platform stand-in failed: {error}");
        }
    });
    log::info!(
        "platform stand-in listens on {address}; its data is in memory and is lost when the daemon ends"
    );
    Ok(address)
}
