//! The project's proxies as separate processes, started with the command of the deploy file.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::group::Bounds;
use crate::process::signal;

/// The word of `run` in `deploy/system.toml`.
const PROGRAM: &str = "target/release/millwind-proxy";

pub struct Proxy {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    folder: PathBuf,
    child: Child,
}

/// What the settings of all proxies have in common.
pub struct Site {
    pub folder: PathBuf,
    /// The first three numbers of the loopback addresses.
    pub network: String,
    pub store: SocketAddr,
    pub cloud_api: SocketAddr,
    pub is_fenced: bool,
    pub bounds: &'static Bounds,
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

impl Proxy {
    /// Starts `count` proxies, each in a zone of its own.
    pub fn start_all(site: &Site, count: usize) -> Vec<Proxy> {
        let ips: Vec<String> = (0..count)
            .map(|index| format!("{}.{}", site.network, 11 + index))
            .collect();
        let control: Vec<u16> = ips.iter().map(|ip| free_port(ip)).collect();
        let addresses = ips.iter().zip(&control);
        let seeds: Vec<String> = addresses.map(|(ip, port)| format!("\"{ip}:{port}\"")).collect();
        let start = |index: usize| Proxy::start(site, index, &ips[index], control[index], &seeds);
        (0..count).map(start).collect()
    }

    fn start(site: &Site, index: usize, ip: &str, control: u16, seeds: &[String]) -> Proxy {
        let name = format!("front-{}", index + 1);
        let (front, ready) = (free_port(ip), free_port(ip));
        let zone = ["hall-a", "hall-b", "hall-c"][index % 3];
        let settings = format!(
            r#"node-name = "{name}"
role = "proxy"
machine-class = "front"
serves = ["front","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "r-{zone}"
internal-port-range = [7440,7455]
seeds = [{seeds}]
bootstrap = true
counts-as-loss = false
discovery = "platform"
entrypoint = "virtual_ip"
heartbeat-interval-ms = 1200
contracts = ["base","drain","config","cost","recover","sql","platform"]
[zones]
hall-a = "r-hall-a"
hall-b = "r-hall-b"
hall-c = "r-hall-c"
[listen-addrs]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu-share = 0.25
cpu-cores = 1
memory-mb = 260
max-fds = 4300
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
address-reuse-s = 2
contact-ms = {contact_ms}
ack-timeout-ms = {ack_timeout_ms}
catch-up-s = {catch_up_s}
drain-timeout-ms = {drain_timeout_ms}
grace-period-s = 6
loss-slack-ms = 200
config-apply-ms = {config_apply_ms}
rollback-slack-ms = 250
max-skew-ms = {max_skew_ms}
recovery-s = {recovery_s}
fencing-required = {fenced}
unfreeze-slack-ms = 300
[platform]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-retention-s = 20
max-value-bytes = 1048576
min-ttl-ms = 1000
[cloud-api]
address = "{cloud}"
rate-per-s = 50.0
duties = ["failover"]
duty-per-s = 50.0
"#,
            contact_ms = site.bounds.contact_ms,
            ack_timeout_ms = site.bounds.ack_timeout_ms,
            catch_up_s = site.bounds.catch_up_s,
            drain_timeout_ms = site.bounds.drain_timeout_ms,
            config_apply_ms = site.bounds.config_apply_ms,
            max_skew_ms = site.bounds.max_skew_ms,
            recovery_s = site.bounds.recovery_s,
            seeds = seeds.join(","),
            fenced = site.is_fenced,
            store = site.store,
            cloud = site.cloud_api,
        );
        let path = site.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("the settings file");
        let child = run(&path, &site.folder, &name);
        Proxy {
            name,
            front: SocketAddr::new(ip.parse().expect("an address"), front),
            ready: SocketAddr::new(ip.parse().expect("an address"), ready),
            settings: path,
            folder: site.folder.clone(),
            child,
        }
    }

    /// Stops the process with SIGTERM and waits for its end.
    pub fn stop(&mut self) {
        signal(self.id(), "-TERM");
        let _ = self.child.wait();
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again. Only the very first start has `bootstrap`.
    pub fn start_again(&mut self) {
        let settings = fs::read_to_string(&self.settings).expect("the settings file");
        let settings = settings.replace("bootstrap = true", "bootstrap = false");
        fs::write(&self.settings, settings).expect("the settings file");
        self.child = run(&self.settings, &self.folder, &self.name);
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until `GET /readyz` gets 200.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready().unwrap_or(false) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    fn is_ready(&self) -> Option<bool> {
        let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500)).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
        stream
            .write_all(b"GET /readyz HTTP/1.1\r\nhost: proxy\r\nconnection: close\r\n\r\n")
            .ok()?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).ok()?;
        Some(head.ends_with(b"200"))
    }
}

/// Starts the program with a settings file.
fn run(settings: &Path, folder: &Path, name: &str) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(folder.join(format!("{name}.log")))
        .expect("the log file");
    let child = Command::new(PROGRAM)
        .env("MILLWIND_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("the log file"))
        .stderr(log)
        .spawn()
        .expect("the proxy starts");
    note_process(folder, child.id());
    child
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Notes the id of a started process, so that the script can end it in any case.
fn note_process(folder: &Path, id: u32) {
    let path = folder.join("processes");
    let file = File::options().create(true).append(true).open(path);
    if let Ok(mut file) = file {
        let _ = writeln!(file, "{id}");
    }
}
