//! Controllers as processes of their own, and how a cluster of three is started.

use crate::processes;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};

/// A controller's process.
pub struct Node {
    process: Child,
    config: PathBuf,
    operator: Option<PathBuf>,
}

impl Node {
    pub fn start(config: PathBuf, operator: Option<PathBuf>) -> Node {
        let operator_file = operator.iter().flat_map(|file| ["--operator".as_ref(), file.as_os_str()]);
        let mut command = Command::new(env!("CARGO_BIN_EXE_dockpier"));
        command.arg("serve").args(operator_file).arg("--config").arg(&config);
        let process = processes::spawn(command.env("LOG_LEVEL", "error").stdin(Stdio::null()));
        Node { process, config, operator }
    }

    pub fn kill(&mut self) {
        self.process.kill().unwrap();
        self.process.wait().unwrap();
    }

    pub fn restart(&mut self) {
        self.kill();
        *self = Node::start(self.config.clone(), self.operator.clone());
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Free addresses on a loopback host of each cluster's own: connections made by anybody else meanwhile come from
/// another host, and can't take a port between its being found free and its being used.
pub fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    static CLUSTERS: AtomicU8 = AtomicU8::new(2);
    let host = std::net::Ipv4Addr::new(127, 0, 57, CLUSTERS.fetch_add(1, Ordering::Relaxed));
    processes::free_addresses(host)
}

/// Three controllers in one zone, and what is around them.
pub async fn start_nodes(name: &str, state: SocketAddr, cloud: SocketAddr) -> (Vec<Node>, Vec<SocketAddr>) {
    start_in_zones(name, state, cloud, &["a"], None).await
}

/// Three controllers in these zones, under the operators' settings.
pub async fn start_in_zones(
    name: &str,
    state: SocketAddr,
    cloud: SocketAddr,
    zones: &[&str],
    operator: Option<&str>,
) -> (Vec<Node>, Vec<SocketAddr>) {
    let addresses = free_addresses::<6>();
    let peers = addresses[3..].to_vec();
    let links = vec![peers.clone(); 3];
    start_with_links(name, state, cloud, zones, operator, &addresses, &links)
}

/// Three controllers on these addresses: three for users and workers, then three for peers. `links[i][j]`: where
/// controller `i` reaches controller `j`.
pub fn start_with_links(
    name: &str,
    state: SocketAddr,
    cloud: SocketAddr,
    zones: &[&str],
    operator: Option<&str>,
    addresses: &[SocketAddr; 6],
    links: &[Vec<SocketAddr>],
) -> (Vec<Node>, Vec<SocketAddr>) {
    let (public, peers) = (addresses[..3].to_vec(), addresses[3..].to_vec());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    let nodes = (0..3)
        .map(|i| {
            let members: Vec<Value> = (0..3)
                .filter(|j| *j != i)
                .map(|j| json!({"node_name": format!("n{j}"), "site": "a", "peer_addr": links[i][j]}))
                .collect();
            let settings = json!({"node_name": format!("n{i}"), "site": "a", "public_addr": public[i],
                "peer_bind": peers[i], "members": members,
                "external": {"cloud": cloud, "state": state},
                "deployment": {"nodes": 3, "zones": zones, "teams": [
                        {"name": "team", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": if zones.len() > 1 { 0.0 } else { 4.0 }}],
                    "workers": {"report_s": 0.5, "lease_s": 10.0, "cancel_s": 40.0},
                    "state": {"rps": 1000.0, "write_rps": 500.0, "value_kb": 8.0, "txn_ops": 8},
                    "cloud": {"rps": 50.0, "list_lag_s": 1.0}}});
            let config = folder.join(format!("n{i}.json"));
            std::fs::write(&config, settings.to_string()).unwrap();
            let operator_file = operator.map(|text| {
                // One for each node: written anew for the next while a node read it, it was empty, and that node ended.
                let file = folder.join(format!("n{i}.scm"));
                std::fs::write(&file, text).unwrap();
                file
            });
            Node::start(config, operator_file)
        })
        .collect();
    (nodes, public)
}
