//! The kernel: state that all plug-ins share, and the order of start and stop.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use wasabiswitch_policy::config::Principal;
use wasabiswitch_policy::ids::{DaemonId, Epoch, KeyId};
use wasabiswitch_policy::stop;

use crate::clock::Clock;
use crate::error::{Error, ErrorKind};
use crate::http::client::HttpClient;
use crate::http::control::{self, ControlRoute};
use crate::http::entry::{self, EntryRoute};
use crate::http::intake::Intakes;
use crate::keys::{PresentedKey, parse_digest, secrets_match};
use crate::network::Network;
use crate::platform::Platform;
use crate::platform::fleet::FleetPort;
use crate::plugin::{PeriodicTask, Plugin, sort};
use crate::settings::Settings;
use crate::store::Store;
use crate::tables::{ActiveConfig, Tables};
use crate::tasks::TaskTree;

/// Time after which a stop no longer waits for the tasks of the kernel.
const TASKS_STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Notifications that start a periodic task of a plug-in before its interval has passed.
#[derive(Debug, Default)]
pub struct WakeSignals {
    /// A team needs slots or can return some.
    pub teams: Notify,
    /// A newer configuration is known to exist.
    pub config: Notify,
    /// A job has been submitted, cancelled or ended.
    pub jobs: Notify,
    /// The row of an instance has changed.
    pub instances: Notify,
    /// A message to the peers is due.
    pub peers: Notify,
    /// The state of the fleet has changed such that a task may start or stop.
    pub plan: Notify,
    /// The owner of the fleet has changes to write to the store.
    pub write: Notify,
    /// The owner of the fleet may have changed.
    pub owner: Notify,
}

/// State and services that all plug-ins share.
pub struct Kernel {
    /// Settings of this daemon.
    pub settings: Settings,
    /// Source of time; tests replace it.
    pub clock: Clock,
    /// Shared tables, each with its own lock.
    pub tables: Tables,
    /// Client of the table service and the object store.
    pub store: Store,
    /// Functions of the platform; calls to the table service and the object store go through `store`.
    pub platform: Platform,
    /// Opens connections to upstreams and peers.
    pub network: Network,
    /// HTTP client for requests to peers.
    pub client: HttpClient,
    /// Notifications between plug-ins.
    pub wake_signals: WakeSignals,
    /// Tasks that run until the daemon stops.
    pub tasks: TaskTree,
    /// Bounds on what the listeners take in.
    pub intakes: Intakes,
    /// Tasks of callers' requests, which a stop lets finish.
    pub request_tasks: TaskTree,
    plugins: Vec<Plugin>,
    entry_routes: Vec<EntryRoute>,
    control_routes: Vec<ControlRoute>,
    control_address: OnceLock<SocketAddr>,
    incarnation: u64,
    ready: AtomicBool,
    stopping: AtomicBool,
    entry_closing: AtomicBool,
    response_time_over: AtomicBool,
    response_time_over_token: CancellationToken,
    requests_in_flight: AtomicUsize,
}

/// Count of a request on the entry listener, which ends when the value is dropped.
#[derive(Debug)]
pub(crate) struct RequestInFlight<'a> {
    count: &'a AtomicUsize,
}

impl Drop for RequestInFlight<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl std::fmt::Debug for Kernel {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Kernel").field("daemon", &self.settings.daemon).finish()
    }
}

/// Addresses of the listeners of a running daemon.
#[derive(Debug)]
pub struct BoundAddresses {
    /// Address for callers.
    pub entry: SocketAddr,
    /// Address for operators and peers.
    pub control: SocketAddr,
}

impl Kernel {
    /// Creates a kernel with `plugins`, sorted into their start order.
    pub fn new(
        settings: Settings,
        platform: Platform,
        network: Network,
        clock: Clock,
        plugins: Vec<Plugin>,
    ) -> Result<Arc<Kernel>, Error> {
        let plugins = sort(plugins).map_err(ErrorKind::from)?;
        let tables = Tables::new(
            settings.daemon.clone(),
            settings.data_centre.clone(),
            settings.lease,
            clock.now(),
        );
        let entry_routes = plugins.iter().flat_map(|plugin| plugin.entry_routes.clone()).collect();
        let control_routes =
            plugins.iter().flat_map(|plugin| plugin.control_routes.clone()).collect();
        let tasks = TaskTree::new();
        Ok(Arc::new(Kernel {
            intakes: Intakes::new(&settings.intake, &tasks),
            store: Store::new(platform.clone(), clock.clone()),
            client: HttpClient::new(network.clone()),
            network,
            wake_signals: WakeSignals::default(),
            tasks,
            request_tasks: TaskTree::new(),
            control_address: OnceLock::new(),
            incarnation: fastrand::u64(..),
            ready: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            entry_closing: AtomicBool::new(false),
            response_time_over: AtomicBool::new(false),
            response_time_over_token: CancellationToken::new(),
            requests_in_flight: AtomicUsize::new(0),
            settings,
            clock,
            tables,
            platform,
            plugins,
            entry_routes,
            control_routes,
        }))
    }

    /// Returns the routes of all plug-ins on the entry listener.
    pub fn entry_routes(&self) -> &[EntryRoute] {
        &self.entry_routes
    }

    /// Returns the routes of all plug-ins on the control listener.
    pub fn control_routes(&self) -> &[ControlRoute] {
        &self.control_routes
    }

    /// Returns the address of the control listener; until it is open, the address from the settings.
    pub fn control_address(&self) -> SocketAddr {
        self.control_address.get().copied().unwrap_or(self.settings.control_listen)
    }

    /// Returns the functions of the users' platform, if the daemon runs on it.
    pub fn fleet_port(&self) -> Option<&FleetPort> {
        self.platform.fleet.as_ref()
    }

    /// Returns the random number that identifies this incarnation of the daemon.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns whether the load balancer should send requests to this daemon.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Returns whether a stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Returns whether connections of callers are to close after their current request.
    pub fn is_entry_closing(&self) -> bool {
        self.entry_closing.load(Ordering::Acquire)
    }

    /// Returns whether a stop no longer waits for requests to end, so that each is to be answered now.
    pub fn is_response_time_over(&self) -> bool {
        self.response_time_over.load(Ordering::Acquire)
    }

    /// Returns a token that is cancelled when [`Kernel::is_response_time_over`] becomes true.
    pub(crate) fn response_time_over_token(&self) -> CancellationToken {
        self.response_time_over_token.clone()
    }

    /// Counts a request on the entry listener as in flight until the returned value is dropped.
    pub(crate) fn count_request(&self) -> RequestInFlight<'_> {
        self.requests_in_flight.fetch_add(1, Ordering::Relaxed);
        RequestInFlight { count: &self.requests_in_flight }
    }

    /// Returns the number of requests on the entry listener that have no response yet.
    pub fn requests_in_flight(&self) -> usize {
        self.requests_in_flight.load(Ordering::Relaxed)
    }

    /// Returns this daemon's id and the epoch of its current session.
    pub fn session(&self) -> (DaemonId, Epoch) {
        let members = self.tables.members.lock();
        (members.own.daemon.clone(), members.own.epoch)
    }

    /// Returns a snapshot of the configuration in force.
    pub fn config(&self) -> Arc<ActiveConfig> {
        self.tables.config.lock().active.clone()
    }

    /// Returns the id and the holder of a key, or `None` if the key is unknown or revoked.
    pub fn authenticate(&self, key: &str) -> Option<(KeyId, Principal)> {
        let presented = PresentedKey::parse(key)?;
        let keys = self.tables.keys.lock();
        let entry = keys.by_id(presented.id)?;
        presented.matches(&entry.digest).then(|| (presented.id.into(), entry.holder.clone()))
    }

    /// Returns the name of the operator who holds a key.
    ///
    /// While the configuration has no operator's key, the key of the first operator from the settings is
    /// accepted.
    pub fn check_operator(&self, key: &str) -> Option<String> {
        if let Some((_, Principal::Operator(name))) = self.authenticate(key) {
            return Some(name);
        }
        let configured = {
            let keys = self.tables.keys.lock();
            keys.iter().any(|(_, entry)| matches!(entry.holder, Principal::Operator(_)))
        };
        let first = self.settings.first_operator_digest.as_deref().and_then(parse_digest)?;
        let presented = PresentedKey::parse(key)?;
        (!configured && presented.matches(&first)).then(|| "first-operator".to_owned())
    }

    /// Returns whether a key is the peer key that authenticates daemons to each other.
    pub fn check_peer(&self, key: &str) -> bool {
        secrets_match(key, &self.settings.peer_key)
    }

    /// Notifies all plug-ins, in their start order, that a configuration is in force.
    pub fn notify_config_adopted(&self, active: &ActiveConfig) {
        for plugin in &self.plugins {
            (plugin.on_config)(self, active);
        }
    }

    /// Starts the plug-ins and their periodic tasks without opening a listener.
    pub async fn start_plugins(self: &Arc<Kernel>) -> Result<(), Error> {
        for plugin in &self.plugins {
            (plugin.start)(self.clone()).await?;
        }
        for task in self.plugins.iter().flat_map(|plugin| &plugin.periodic_tasks) {
            self.tasks.spawn_until_stopped(task.name, run_periodically(self.clone(), *task));
        }
        Ok(())
    }

    /// Opens the listeners, starts the plug-ins, and returns once requests are served.
    pub async fn start(self: &Arc<Kernel>) -> Result<BoundAddresses, Error> {
        let entry_listener = listen(self.settings.entry_listen).await?;
        let control_listener = listen(self.settings.control_listen).await?;
        let addresses = BoundAddresses {
            entry: local_address(&entry_listener, self.settings.entry_listen)?,
            control: local_address(&control_listener, self.settings.control_listen)?,
        };
        let _ = self.control_address.set(addresses.control);
        self.start_plugins().await?;
        let (kernel, stop) = (self.clone(), self.tasks.stop_token());
        self.tasks.spawn("control listener", async move {
            control::serve(kernel, control_listener, stop).await;
        });
        self.request_tasks.spawn("entry listener", entry::serve(self.clone(), entry_listener));
        self.ready.store(true, Ordering::Release);
        log::info!("the daemon is ready, serving callers on {}", addresses.entry);
        Ok(addresses)
    }

    /// Stops gracefully; returns whether all requests in flight have ended by themselves.
    ///
    /// The daemon first becomes unready, so that the load balancer uses other daemons, and then finishes the
    /// requests in flight; those that have not ended in time are answered as in doubt. It then stops the
    /// plug-ins, which return their slots and end the session, and joins its tasks. See docs/DESIGN.md, "A stop".
    pub async fn stop(self: &Arc<Kernel>) -> bool {
        let Settings { drain_notice, stop_timeout, termination_grace, .. } = self.settings;
        let times = stop::schedule(drain_notice, stop_timeout, termination_grace);
        self.stopping.store(true, Ordering::Release);
        self.ready.store(false, Ordering::Release);
        log::info!("the daemon is stopping");
        tokio::time::sleep(times.close_after).await;
        self.entry_closing.store(true, Ordering::Release);
        log::info!(
            "the entry listener is closing requests_in_flight={}",
            self.requests_in_flight()
        );
        let finished = self.request_tasks.join(times.respond_after - times.close_after).await;
        if !finished {
            self.answer_remaining_requests(times.send_time).await;
        }
        for plugin in self.plugins.iter().rev() {
            (plugin.stop)(self.clone()).await;
        }
        let joined = self.tasks.join(TASKS_STOP_TIMEOUT).await;
        log::info!("the daemon has stopped, requests finished: {finished}, tasks joined: {joined}");
        finished
    }

    /// Has each request that has not ended answered as in doubt, and waits up to `send_time` for the responses.
    async fn answer_remaining_requests(&self, send_time: Duration) {
        log::warn!(
            "requests are answered before they have ended requests_in_flight={}",
            self.requests_in_flight()
        );
        self.response_time_over.store(true, Ordering::Release);
        self.response_time_over_token.cancel();
        let joined = self.request_tasks.join(send_time).await;
        if !joined && self.requests_in_flight() > 0 {
            log::warn!(
                "connections are closed before their requests have ended requests_in_flight={}",
                self.requests_in_flight()
            );
        }
    }
}

async fn run_periodically(kernel: Arc<Kernel>, task: PeriodicTask) {
    loop {
        (task.run)(kernel.clone()).await;
        let pause = tokio::time::sleep((task.interval)(&kernel));
        match task.wake {
            Some(wake) => {
                tokio::select! {
                    () = pause => {}
                    () = wake(&kernel).notified() => {}
                }
            }
            None => pause.await,
        }
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| ErrorKind::Listen { address, error }.into())
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, Error> {
    listener.local_addr().map_err(|error| ErrorKind::Listen { address, error }.into())
}
