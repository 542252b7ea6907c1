//! Ports of concurrent test processes.

use std::collections::BTreeSet;
use std::io::{BufRead as _, BufReader};
use std::process::{Child, Command, Stdio};

use wasabiswitch_standin::free_port;

/// Variable that is set in the processes that only take ports.
const CHILD_VARIABLE: &str = "PORTS_CHILD";
/// Number of ports that each process takes: more than those of a soak with 24 daemons.
const PORT_COUNT: usize = 150;
/// Number of concurrent processes.
const PROCESS_COUNT: usize = 3;

// Guards against a daemon that cannot restart, since another test process has taken its port, and answers calls meant for its own fleet.
#[test]
fn concurrent_processes_get_different_ports() {
    if std::env::var_os(CHILD_VARIABLE).is_some() {
        for _ in 0..PORT_COUNT {
            println!("port={}", free_port());
        }
        // The parent closes the input once all processes have their ports.
        let _ = std::io::stdin().read_line(&mut String::new());
        return;
    }
    let mut children: Vec<Child> = (0..PROCESS_COUNT).map(|_| start_child()).collect();
    let taken: Vec<u16> = children.iter_mut().flat_map(read_ports).collect();
    for mut child in children {
        drop(child.stdin.take());
        child.wait().unwrap();
    }
    assert_eq!(taken.len(), PROCESS_COUNT * PORT_COUNT);
    assert_eq!(taken.iter().collect::<BTreeSet<_>>().len(), taken.len());
}

fn start_child() -> Child {
    let mut command = Command::new(std::env::current_exe().unwrap());
    command.args(["--exact", "concurrent_processes_get_different_ports", "--nocapture"]);
    command.env(CHILD_VARIABLE, "1").stdin(Stdio::piped()).stdout(Stdio::piped());
    command.spawn().unwrap()
}

fn read_ports(child: &mut Child) -> Vec<u16> {
    let lines = BufReader::new(child.stdout.as_mut().unwrap()).lines();
    let ports =
        lines.map_while(Result::ok).filter_map(|line| line.split_once("port=")?.1.parse().ok());
    ports.take(PORT_COUNT).collect()
}
