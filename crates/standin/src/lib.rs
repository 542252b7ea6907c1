/*!
In-memory stand-ins for the platform's services, its workers and upstreams, with fault injection.

# Example: a commit whose response is lost

```
# tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
use wasabiswitch_kernel::clock::Clock;
use wasabiswitch_kernel::platform::{RowValue, Write};
use wasabiswitch_standin::{Fault, Operation, StandIn};

let standin = StandIn::new(Clock::tokio());
let platform = standin.platform();
standin.faults().inject(Operation::Commit, Fault::LostResponse, 1);

let write = Write { key: "a".into(), expected: 0, value: Some(RowValue(vec![1])) };
assert!((platform.commit)(vec![write]).await.is_err());
let rows = (platform.read)(vec!["a".into()]).await.unwrap();
assert!(rows[0].is_some(), "the write took effect although its response was lost");
# });
```

The same state is reachable in process, through [`StandIn::platform`], and over a loopback socket, through
[`http::serve`]. The quickstart and the tests use both. Every operation first takes the next fault from
[`Faults`], which may refuse, delay, hang or duplicate it, lose its response or serve it a stale read.
*/

pub mod cluster;
mod faults;
pub mod fleet;
pub mod fleet_worker;
pub mod http;
mod instances;
pub mod network;
mod ports;
mod table;
pub mod upstream;
mod workers;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use futures_util::FutureExt as _;
use wasabiswitch_kernel::clock::Clock;
use wasabiswitch_kernel::platform::{
    Platform, PlatformError, PlatformFn, PlatformResult, ScanRange, SyncRequest, Write,
};
use wasabiswitch_policy::ids::InstanceId;

pub use faults::{Fault, FaultTarget, Faults, Operation};
pub use instances::InstanceList;
pub use ports::free_port;
pub use table::TableService;
pub use workers::{Workers, task_outcome};

/// Number of times that each operation was carried out.
pub type OperationCounts = HashMap<Operation, u64>;

/// The instance of a worker, and the request to it.
type WorkerCall = (InstanceId, SyncRequest);

/// The state of the platform, which both interfaces share.
#[derive(Debug)]
struct State {
    table: TableService,
    // The snapshot that stale reads see.
    stale_table: TableService,
    objects: HashMap<String, Bytes>,
    instances: InstanceList,
    workers: Workers,
    counts: OperationCounts,
}

/// An in-memory platform; clones share its state.
#[derive(Clone, Debug)]
pub struct StandIn {
    state: Arc<Mutex<State>>,
    faults: Faults,
    clock: Clock,
}

impl StandIn {
    /// Creates a platform that has no instances, no rows and no planned faults.
    pub fn new(clock: Clock) -> StandIn {
        let state = State {
            table: TableService::default(),
            stale_table: TableService::default(),
            objects: HashMap::new(),
            instances: InstanceList::default(),
            workers: Workers::default(),
            counts: HashMap::new(),
        };
        StandIn { state: Arc::new(Mutex::new(state)), faults: Faults::default(), clock }
    }

    /// Returns the handle that injects faults into this platform.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `change` on the list of instances, under the lock of the state.
    pub fn with_instances<T>(&self, change: impl FnOnce(&mut InstanceList) -> T) -> T {
        change(&mut self.state().instances)
    }

    /// Runs `change` on the workers, under the lock of the state.
    pub fn with_workers<T>(&self, change: impl FnOnce(&mut Workers) -> T) -> T {
        change(&mut self.state().workers)
    }

    /// Runs `read` on the table service directly, without faults and without counting an operation.
    pub fn with_table<T>(&self, read: impl FnOnce(&mut TableService) -> T) -> T {
        read(&mut self.state().table)
    }

    /// Takes a snapshot of the rows, from which later stale reads are served.
    pub fn snapshot_for_stale_reads(&self) {
        let mut state = self.state();
        state.stale_table = state.table.clone();
    }

    /// Returns the number of times that each operation was carried out.
    pub fn counts(&self) -> OperationCounts {
        self.state().counts.clone()
    }

    /// Returns the platform's functions, which act on this state.
    pub fn platform(&self) -> Platform {
        Platform {
            read: self.function(
                Operation::Read,
                |keys: &Vec<String>| first_key(keys),
                |call, keys: Vec<String>| keys.iter().map(|key| call.table().read(key)).collect(),
            ),
            scan: self.function(
                Operation::Scan,
                |range: &ScanRange| range.prefix.clone(),
                |call, range| call.table().scan(&range.prefix, &range.after, range.rows_max),
            ),
            commit: self.function(
                Operation::Commit,
                |writes: &Vec<Write>| writes.first().map_or(String::new(), |w| w.key.clone()),
                |call, writes| call.state.table.commit(writes),
            ),
            get_object: self.function(Operation::GetObject, String::clone, |call, name| {
                call.state.objects.get(&name).cloned()
            }),
            put_object: self.function(
                Operation::PutObject,
                |(name, _): &(String, Bytes)| name.clone(),
                |call, (name, body)| drop(call.state.objects.insert(name, body)),
            ),
            list_instances: self.function(
                Operation::List,
                |()| String::new(),
                |call, ()| call.state.instances.list(call.now),
            ),
            sync_worker: self.function(
                Operation::Sync,
                |(instance, _): &WorkerCall| instance.to_string(),
                |call, (instance, request)| {
                    let boot = call.state.instances.boot(&instance);
                    call.state.workers.sync(&instance, boot, &request, call.now)
                },
            ),
            reboot: self.function(
                Operation::Reboot,
                |instance: &InstanceId| instance.to_string(),
                |call, instance| {
                    call.state.workers.reboot(&instance);
                    call.state.instances.reboot(&instance, call.now);
                },
            ),
            fleet: None,
        }
    }

    fn function<A, T>(
        &self,
        operation: Operation,
        key_of: impl Fn(&A) -> String + Send + Sync + 'static,
        run: impl Fn(Call<'_>, A) -> T + Send + Sync + 'static,
    ) -> PlatformFn<A, T>
    where
        A: Clone + Send + 'static,
        T: Send + 'static,
    {
        let standin = self.clone();
        let run = Arc::new(run);
        Arc::new(move |argument: A| {
            let (standin, run) = (standin.clone(), run.clone());
            let fault = standin.faults.next(operation, &key_of(&argument));
            async move { standin.serve(operation, fault, argument, &*run).await }.boxed()
        })
    }

    async fn serve<A: Clone, T>(
        &self,
        operation: Operation,
        fault: Option<Fault>,
        argument: A,
        run: &(dyn Fn(Call<'_>, A) -> T + Send + Sync),
    ) -> PlatformResult<T> {
        match fault {
            Some(Fault::Refuse) => return Err(PlatformError::not_run("refused by plan")),
            // No task here outlives the call, so a late delivery never takes effect.
            Some(Fault::Hang | Fault::LateDelivery(_)) => std::future::pending().await,
            Some(Fault::Slow(delay)) => tokio::time::sleep(delay).await,
            _ => {}
        }
        let stale = fault == Some(Fault::StaleRead);
        let response = self.run_once(operation, argument.clone(), stale, run);
        match fault {
            Some(Fault::LostResponse) => {
                Err(PlatformError::may_have_run("the answer was lost by plan"))
            }
            Some(Fault::SlowResponse(delay)) => {
                tokio::time::sleep(delay).await;
                Ok(response)
            }
            // The caller gets the response of the second delivery.
            Some(Fault::DuplicateDelivery) => Ok(self.run_once(operation, argument, stale, run)),
            _ => Ok(response),
        }
    }

    fn run_once<A, T>(
        &self,
        operation: Operation,
        argument: A,
        stale: bool,
        run: &(dyn Fn(Call<'_>, A) -> T + Send + Sync),
    ) -> T {
        let now = self.clock.now();
        let mut state = self.state();
        *state.counts.entry(operation).or_default() += 1;
        run(Call { state: &mut state, stale, now }, argument)
    }
}

fn first_key(keys: &[String]) -> String {
    keys.first().cloned().unwrap_or_default()
}

/// The context of one call: the state, whether its reads are stale, and the time.
struct Call<'a> {
    state: &'a mut State,
    stale: bool,
    now: Instant,
}

impl Call<'_> {
    /// Returns the rows that a read sees: the snapshot if the read is stale.
    fn table(&self) -> &TableService {
        if self.stale { &self.state.stale_table } else { &self.state.table }
    }
}
