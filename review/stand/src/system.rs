//! A small deployment: front machines with a disk, each a process of the deploy file on a loopback address of its own.

use std::fs;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::{Answer, call};
use crate::record::Record;
use crate::sleep_ms;

/// First of the ports of a machine; below the range for outgoing connections.
const PORT: u16 = 21_300;
/// The program of `deploy/system.toml`.
const PROGRAM: &str = "target/release/tamarackbank";

/// All processes that were started, which end with this one.
static CHILDREN: Mutex<Vec<(u32, Child)>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    for (_, mut child) in CHILDREN.lock().expect("the processes").drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// One front machine.
pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    pub zone: String,
    /// Whether it has a disk.
    pub disk: bool,
    folder: PathBuf,
    /// Its process.
    pub process: u32,
}

impl Machine {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PORT)
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PORT + 1)
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PORT + 2)
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

/// The machines of a deployment; their processes end with it.
pub struct System {
    pub machines: Vec<Machine>,
    folder: PathBuf,
    list: SocketAddr,
    record: Record,
}

impl Drop for System {
    fn drop(&mut self) {
        end_all();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl System {
    /// Starts three machines with a disk, of which one may be lost.
    pub fn start(list: SocketAddr, record: &Record) -> std::io::Result<Self> {
        Self::start_with(0, list, record)
    }

    /// Starts three machines with a disk, of which one may be lost, and others without one.
    pub fn start_with(others: usize, list: SocketAddr, record: &Record) -> std::io::Result<Self> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("tamarackbank-review-{id}"));
        fs::create_dir_all(&folder)?;
        let ips = addresses(3 + others)?;
        let machines = ips.iter().enumerate().map(|(number, ip)| Machine {
            name: format!("front-{number}"),
            ip: *ip,
            zone: format!("z{}", number % 3),
            disk: number < 3,
            folder: folder.join(format!("front-{number}")),
            process: 0,
        });
        let mut system = Self {
            machines: machines.collect(),
            folder: folder.clone(),
            list,
            record: record.clone(),
        };
        for number in 0..system.machines.len() {
            system.write_settings(number, &[0, 1, 2], true)?;
            system.start_machine(number)?;
        }
        Ok(system)
    }

    /// Writes the settings file of a machine; `seeds` are the numbers of machines.
    pub fn write_settings(
        &self,
        number: usize,
        seeds: &[usize],
        first: bool,
    ) -> std::io::Result<()> {
        let list = self.list;
        let seeds: Vec<String> =
            seeds.iter().map(|seed| self.machines[*seed].control().to_string()).collect();
        let zones: Vec<String> = (0..3).map(|zone| format!("zones.z{zone}=r")).collect();
        let machine = &self.machines[number];
        fs::create_dir_all(&machine.folder)?;
        let text = format!(
            "node={}\nrole=entry\nmachineClass=front\nserves=front,control\nip={}\nzone={}\nregion=r\n{}\n\
             listen.front={}\nlisten.ready={}\nlisten.control={}\ninternalPorts={},{}\nseeds={}\n\
             bootstrap={first}\ninFaultSet={}\nlimits.cpuShare=0.45\nlimits.cores=1\nlimits.memoryMb=110\n\
             limits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=64\n{}discovery=cloud\n\
             entry=vip\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants\n\
             faultTolerance.machines=1\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n\
             bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.stableWindowMs=3000\nbounds.ackMs=4000\n\
             bounds.catchUpS=4\nbounds.drainMs=3000\nbounds.graceS=8\nbounds.lossSlackMs=200\n\
             bounds.configConvergeMs=2000\nbounds.downgradeSlackMs=250\nbounds.skewMaxMs=5000\n\
             bounds.failClosed=false\nbounds.revokeMs=5000\nbounds.retryBudgetRatio=0.2\n\
             bounds.budgetWindowS=10\nbounds.budgetSlack=58\nbounds.recoveryS=12\nbounds.transitMs=120\n\
             bounds.reuseWindowS=20\nbounds.requireFencing=true\nbounds.leaseMs=3000\nbounds.thawMs=300\n\
             bounds.versionMs=6000\nbounds.versionAllMs=8400\nconfigMode=highest\ncloud.address={list}\n\
             cloud.ratePerS=40.0\ncloud.duties=\ncloud.lagMs=800\n",
            machine.name,
            machine.ip,
            machine.zone,
            zones.join("\n"),
            machine.front(),
            machine.ready(),
            machine.control(),
            PORT + 3,
            PORT + 18,
            seeds.join(","),
            machine.disk,
            if machine.disk {
                format!("dataDir={}\n", machine.folder.join("data").display())
            } else {
                String::new()
            },
        );
        fs::write(machine.folder.join("local.conf"), text)
    }

    fn start_machine(&mut self, number: usize) -> std::io::Result<()> {
        let machine = &mut self.machines[number];
        let boot = machine.folder.join("local.conf");
        let log = fs::File::options().create(true).append(true).open(machine.folder.join("log"))?;
        let errors = log.try_clone()?;
        let child = Command::new(Path::new(PROGRAM))
            .arg("hosted")
            .env_clear()
            .envs(
                ["PATH", "HOME", "LANG"]
                    .iter()
                    .filter_map(|name| Some((name, std::env::var_os(name)?))),
            )
            .env("TAMARACKBANK_BOOT", &boot)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        machine.process = child.id();
        CHILDREN.lock().expect("the processes").push((child.id(), child));
        self.record.line(&format!("machine {} starts at {}", machine.name, machine.ip));
        Ok(())
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, machine: usize) {
        let id = self.machines[machine].process;
        let mut children = CHILDREN.lock().expect("the processes");
        if let Some(at) = children.iter().position(|(found, _)| *found == id) {
            let (_, mut child) = children.swap_remove(at);
            let _ = child.kill();
            let _ = child.wait();
        }
        drop(children);
        self.record.line(&format!("machine {} gets SIGKILL", self.machines[machine].name));
    }

    /// Kills the process of a machine, which the platform then starts again.
    pub fn kill_and_restart(&mut self, machine: usize) -> Result<(), String> {
        self.kill(machine);
        sleep_ms(200);
        self.write_settings(machine, &[0, 1, 2], false).map_err(|error| error.to_string())?;
        self.start_machine(machine).map_err(|error| error.to_string())
    }

    /// The machine whose process leads the core, as it says of itself.
    pub fn leader(&self) -> Option<usize> {
        (0..self.machines.len()).filter(|number| self.machines[*number].disk).find(|number| {
            let own = SocketAddr::new(self.machines[*number].ip, PORT + 4);
            let answer = call(own, "GET", "/dump", &[], &[], Duration::from_secs(1));
            answer.text().replace(' ', "").contains("\"role\":\"Leader\"")
        })
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, machine: usize, name: &str) -> Result<(), String> {
        let machine = &self.machines[machine];
        let status =
            Command::new("kill").args([&format!("-{name}"), &machine.process.to_string()]).status();
        self.record.line(&format!("machine {} gets SIG{name}", machine.name));
        match status {
            Ok(status) if status.success() => Ok(()),
            other => Err(format!("kill: {other:?}")),
        }
    }

    /// Sends a configuration to a machine once, and waits a second for the answer; 0 if there is none.
    pub fn put_once(&self, machine: usize, document: &str) -> u16 {
        let control = self.machines[machine].control();
        put_once(control, &self.machines[machine].name, document, &self.record)
    }

    /// Sends a configuration as the operator does, until it is acknowledged or refused.
    pub fn put(&self, document: &str) -> Result<u16, String> {
        let end = Instant::now() + Duration::from_secs(20);
        for number in (0..self.machines.len()).cycle() {
            let status = self.put_once(number, document);
            if status == 200 || (400..500).contains(&status) {
                return Ok(status);
            }
            if Instant::now() > end {
                break;
            }
            sleep_ms(200);
        }
        Err("no configuration was acknowledged".to_owned())
    }

    /// Waits until all machines say that they are ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            let ready = |machine: &Machine| {
                let wait = Duration::from_secs(1);
                call(machine.ready(), "GET", "/v1/readyz", &[], &[], wait).status == 200
            };
            if self.machines.iter().all(ready) {
                return Ok(());
            }
            sleep_ms(100);
        }
        Err("the machines are not ready".to_owned())
    }

    /// Sends a client's request to a machine.
    pub fn request(&self, machine: usize, client: &Client<'_>) -> Answer {
        let machine = &self.machines[machine];
        let mut headers = vec![
            ("Host", client.host),
            ("X-Tamarackbank-Request-Id", client.id),
            ("X-Tamarackbank-Timeout-Ms", "2000"),
        ];
        if let Some(key) = client.key {
            headers.push(("X-Tamarackbank-Key", key));
        }
        headers.extend_from_slice(client.more);
        let wait = Duration::from_secs(4);
        let answer = call(machine.front(), client.method, client.path, &headers, client.body, wait);
        self.record.line(&format!(
            "client sends {} {} id {} key {} to {}: {}, {}",
            client.method,
            client.path,
            client.id,
            client.key.unwrap_or("none"),
            machine.name,
            answer.status,
            answer.header("x-tamarackbank-server-signature").unwrap_or("no signature"),
        ));
        answer
    }
}

/// Sends a configuration to an address once, and waits a second for the answer; 0 if there is none.
pub fn put_once(control: SocketAddr, name: &str, document: &str, record: &Record) -> u16 {
    let version = document.split([':', ',']).nth(1).unwrap_or_default().to_owned();
    let headers = [("Content-Type", "application/json")];
    let wait = Duration::from_secs(1);
    let answer = call(control, "POST", "/v1/config/put", &headers, document.as_bytes(), wait);
    record.line(&format!("operator puts configuration {version} at {name}: {}", answer.status));
    answer.status
}

/// What a client sends.
pub struct Client<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: Option<&'a str>,
    pub body: &'a [u8],
    pub more: &'a [(&'a str, &'a str)],
}

/// Loopback addresses on which the ports of a machine are free.
fn addresses(count: usize) -> std::io::Result<Vec<IpAddr>> {
    let id = std::process::id();
    let mut found = Vec::new();
    for number in 0..200_u32 {
        let seed = id.wrapping_mul(7).wrapping_add(number);
        let ip = IpAddr::from([
            127,
            20 + (seed / 60_000 % 100) as u8,
            (seed / 240 % 250) as u8,
            (seed % 240) as u8 + 2,
        ]);
        let free = |port| TcpListener::bind(SocketAddr::new(ip, port)).is_ok();
        if (PORT..PORT + 6).all(free) {
            found.push(ip);
        }
        if found.len() == count {
            return Ok(found);
        }
    }
    Err(std::io::Error::other("no free addresses"))
}
