//! Proxy processes, started with the command of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Zones of the machines and of the instances, with their regions.
pub const ZONES: [&str; 3] = ["addis-hall-a", "bahir-hall-a", "hawassa-hall-a"];
const REGIONS: [&str; 3] = ["addis", "bahir-dar", "hawassa"];

/// Figures of a deployment that differ between the cases.
pub struct Bounds {
    pub fencing_required: bool,
}

pub struct Proxy {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Proxy {
    /// Writes the settings of the proxy `number` of `count`, each on a loopback address of its own.
    pub fn new(folder: &Path, number: u8, count: u8, store: SocketAddr, bounds: &Bounds) -> Proxy {
        let [.., high, low] = std::process::id().to_be_bytes();
        let host = |number: u8| Ipv4Addr::new(127, 100 + high % 100, low, 10 + number);
        let ip = host(number);
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let region = REGIONS[usize::from(number) % REGIONS.len()];
        let name = format!("front-{zone}-{number}");
        let seeds: Vec<_> = (0..count.min(3))
            .map(|seed| format!("\"{}:8782\"", host(seed)))
            .collect();
        let zones: Vec<_> = ZONES
            .iter()
            .zip(REGIONS)
            .map(|(zone, region)| format!("{zone} = \"{region}\"\n"))
            .collect();
        let text = format!(
            "node-name = \"{name}\"\nrole = \"proxy\"\nmachine-class = \"front\"\nserves = [\"front\",\"control_plane\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"{region}\"\ninternal-port-range = [7440,7455]\nseeds = [{}]\n\
             bootstrap = true\ncounts-as-loss = false\ndiscovery = \"platform\"\nentrypoint = \"virtual_ip\"\n\
             heartbeat-interval-ms = 1200\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sql\",\"platform\"]\n\
             [zones]\n{}[listen-addrs]\nfront = \"{ip}:8784\"\nready = \"{ip}:8785\"\ncontrol = \"{ip}:8782\"\n\
             [limits]\ncpu-share = 0.25\ncpu-cores = 1\nmemory-mb = 260\nmax-fds = 4200\nlink-mbps = 1000.0\ndisk-mb = 0\n\
             [fault-tolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [bounds]\nseed-lag-s = 3\naddress-reuse-s = 2\ncontact-ms = 5000\nack-timeout-ms = 6000\ncatch-up-s = 4\n\
             drain-timeout-ms = 7000\ngrace-period-s = 6\nloss-slack-ms = 200\nconfig-apply-ms = 3000\n\
             rollback-slack-ms = 250\nmax-skew-ms = 15000\nrecovery-s = 12\nfencing-required = {}\nunfreeze-slack-ms = 300\n\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites-per-s = 400\nreads-per-s = 2000\n\
             history-retention-s = 20\nmax-value-bytes = 1048576\nmin-ttl-ms = 1000\n\
             [cloud-api]\naddress = \"{store}\"\nrate-per-s = 50.0\nduties = [\"failover\"]\nduty-per-s = 50.0\n",
            seeds.join(","),
            zones.concat(),
            bounds.fencing_required,
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).unwrap();
        Proxy {
            log: folder.join(format!("{name}.log")),
            front: SocketAddr::from((ip, 8784)),
            ready: SocketAddr::from((ip, 8785)),
            name,
            settings,
            child: None,
        }
    }

    /// Starts the process from the repository's root.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new("target/release/millwind-proxy")
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("MILLWIND_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the program of the deploy file is built"));
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .arg(signal)
                .arg(child.id().to_string())
                .status();
        }
    }

    /// Whether the process answers a readiness probe with 200.
    pub async fn is_ready(&self) -> bool {
        let asking = async {
            let mut stream = TcpStream::connect(self.ready).await.ok()?;
            stream
                .write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .await
                .ok()?;
            let mut answer = Vec::new();
            stream.read_buf(&mut answer).await.ok()?;
            Some(String::from_utf8_lossy(&answer).contains(" 200 "))
        };
        let answer = tokio::time::timeout(Duration::from_secs(1), asking).await;
        answer.ok().flatten().unwrap_or(false)
    }

    /// Returns the lines of the process's log that contain one of `parts`.
    pub fn log_lines(&self, parts: &[&str]) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let is_wanted = |line: &&str| parts.iter().any(|part| line.contains(part));
        text.lines()
            .filter(is_wanted)
            .map(|line| format!("{} {line}", self.name))
            .collect()
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all proxies are ready; false after 30 seconds.
pub async fn await_ready(proxies: &[Proxy]) -> bool {
    for _ in 0..300 {
        let mut ready = 0;
        for proxy in proxies {
            ready += usize::from(proxy.is_ready().await);
        }
        if ready == proxies.len() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    false
}
