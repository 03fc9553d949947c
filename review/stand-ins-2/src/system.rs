//! A small deployment: front machines on loopback addresses, the platform's list, and an operator.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{env, fs, io, process, thread};

use crate::http;

pub const KEY: &str = "key-of-first-tenant";
const FRONT: u16 = 8749;
const READY: u16 = 8741;
const CONTROL: u16 = 8745;
const INTERNAL: u16 = 7580;

/// Why a case could not run.
pub struct Unable(pub String);

impl From<io::Error> for Unable {
    fn from(error: io::Error) -> Self {
        Self(error.to_string())
    }
}

/// Addresses of this run, all in one loopback network that nothing else uses.
pub struct Network {
    base: [u8; 2],
}

impl Network {
    pub fn find() -> Result<Self, Unable> {
        let start = process::id();
        for number in (start..start + 1_000).map(|number| number.wrapping_mul(7_919)) {
            let base = [(40 + number % 150) as u8, (1 + number / 150 % 250) as u8];
            let network = Self { base };
            let ports = [FRONT, READY, CONTROL, INTERNAL, INTERNAL + 1];
            let free = |machine| {
                ports.iter().all(|port| TcpListener::bind((network.ip(machine), *port)).is_ok())
            };
            if (1..=8).all(free) {
                return Ok(network);
            }
        }
        Err(Unable("no free loopback network".to_owned()))
    }

    pub fn ip(&self, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.base[0], self.base[1], number))
    }
}

/// The platform's list: the text of its entries, as bytes.
#[derive(Clone, Default)]
pub struct List {
    entries: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl List {
    pub fn start(&self, network: &Network) -> Result<SocketAddr, Unable> {
        let listener = TcpListener::bind((network.ip(200), 0))?;
        let addr = listener.local_addr()?;
        let list = self.clone();
        http::serve(listener, move |request| {
            if !request.path.starts_with("/instances") {
                return Some(http::answer(404, &[], b""));
            }
            let entries = list.entries.lock().unwrap().join(&b","[..]);
            let body = [&b"{\"instances\":["[..], &entries, b"],\"next\":null}"].concat();
            Some(http::answer(200, &[("Content-Type", "application/json")], &body))
        });
        Ok(addr)
    }

    pub fn show(&self, entries: Vec<Vec<u8>>) {
        *self.entries.lock().unwrap() = entries;
    }
}

/// One machine, with the settings of a small deployment.
pub struct Machine {
    pub ip: IpAddr,
    folder: PathBuf,
    settings: String,
    child: Option<Child>,
}

impl Machine {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT)
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CONTROL)
    }

    pub fn start(&mut self, first: bool) -> Result<(), Unable> {
        let boot = self.folder.join("local.conf");
        fs::write(&boot, format!("{}bootstrap={first}\n", self.settings))?;
        let log = File::options().create(true).append(true).open(self.folder.join("log"))?;
        let mut command = Command::new("target/release/tamarackbank");
        command.arg("hosted").env_clear().env("TAMARACKBANK_BOOT", &boot);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = env::var_os(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null()).stderr(log.try_clone()?).stdout(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The front machines of a small deployment.
pub struct System {
    pub machines: Vec<Machine>,
    folder: PathBuf,
}

impl Drop for System {
    fn drop(&mut self) {
        self.machines.iter_mut().for_each(Machine::kill);
        if env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl System {
    /// Starts `counted` machines with a disk and `others` without one.
    pub fn start(
        network: &Network,
        list: SocketAddr,
        (counted, others): (u8, u8),
        more: &str,
    ) -> Result<Self, Unable> {
        let folder = env::temp_dir().join(format!("review-2-{}", process::id()));
        let mut system = Self { machines: Vec::new(), folder };
        let seeds: Vec<String> =
            (1..=counted).map(|number| format!("{}:{CONTROL}", network.ip(number))).collect();
        for number in 1..=counted + others {
            let ip = network.ip(number);
            let folder = system.folder.join(format!("front-{number}"));
            fs::create_dir_all(&folder)?;
            let zone = ["za", "zb", "zc"][usize::from(number - 1) % 3];
            let has_disk = number <= counted;
            let mut settings = format!(
                "node=front-{zone}-{number}\nrole=entry\nmachineClass=front\nserves=front,control\n\
                 ip={ip}\nzone={zone}\nregion=r\nzones.za=r\nzones.zb=r\nzones.zc=r\n\
                 listen.front={ip}:{FRONT}\nlisten.ready={ip}:{READY}\nlisten.control={ip}:{CONTROL}\n\
                 internalPorts={INTERNAL},{}\nseeds={}\ninFaultSet={has_disk}\nlimits.cpuShare=0.45\n\
                 limits.cores=1\nlimits.memoryMb=110\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\n\
                 limits.diskMb={}\ndiscovery=cloud\nentry=vip\nheartbeatMs=1200\n\
                 contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants\n\
                 faultTolerance.machines=1\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n\
                 bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.stableWindowMs=3000\nbounds.ackMs=4000\n\
                 bounds.catchUpS=4\nbounds.drainMs=3000\nbounds.graceS=8\nbounds.lossSlackMs=200\n\
                 bounds.configConvergeMs=2000\nbounds.downgradeSlackMs=250\nbounds.skewMaxMs=5000\n\
                 bounds.failClosed=false\nbounds.revokeMs=5000\nbounds.retryBudgetRatio=0.2\n\
                 bounds.budgetWindowS=10\nbounds.budgetSlack=58\nbounds.recoveryS=12\nbounds.transitMs=120\n\
                 bounds.reuseWindowS=20\nbounds.requireFencing=true\nbounds.leaseMs=3000\nbounds.thawMs=300\n\
                 bounds.versionMs=6000\nbounds.versionAllMs=8400\nconfigMode=highest\n\
                 cloud.address={list}\ncloud.ratePerS=40.0\ncloud.duties=\ncloud.lagMs=800\n",
                INTERNAL + 15,
                seeds.join(","),
                if has_disk { 64 } else { 0 },
            );
            if has_disk {
                let data = folder.join("data");
                fs::create_dir_all(&data)?;
                settings.push_str(&format!("dataDir={}\n", data.display()));
            }
            settings.push_str(more);
            let mut machine = Machine { ip, folder, settings, child: None };
            machine.start(true)?;
            system.machines.push(machine);
        }
        Ok(system)
    }

    /// Sends a configuration to a machine until it is acknowledged, as the operator does.
    pub fn put(&self, document: &str) -> Result<(), Unable> {
        let end = Instant::now() + Duration::from_secs(20);
        for machine in self.machines.iter().cycle() {
            let headers = [("Host", "control"), ("Content-Type", "application/json")];
            let request = http::request("POST", "/v1/config/put", &headers, document.as_bytes());
            let answer = http::call(machine.control(), &request, Duration::from_secs(1));
            match answer.status {
                200 => return Ok(()),
                400..=499 if answer.status != 408 && answer.status != 429 => {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    return Err(Unable(format!("configuration refused: {} {text}", answer.status)));
                }
                _ if Instant::now() > end => break,
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        Err(Unable("no acknowledgement of the configuration".to_owned()))
    }

    /// Waits until every machine answers the request with success.
    pub fn wait_until_served(&self, make: impl Fn(usize) -> Vec<u8>) -> Result<(), Unable> {
        let end = Instant::now() + Duration::from_secs(25);
        for machine in &self.machines {
            let mut number = 0;
            loop {
                let answer = http::call(machine.front(), &make(number), Duration::from_secs(2));
                number += 1;
                if answer.status == 200 {
                    break;
                }
                if Instant::now() > end {
                    return Err(Unable(format!("{} doesn't serve: {}", machine.ip, answer.status)));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }
}

/// Whether the program of the build is there.
pub fn check_program() -> Result<(), Unable> {
    let found = Path::new("target/release/tamarackbank").exists();
    found.then_some(()).ok_or_else(|| Unable("target/release/tamarackbank is missing".to_owned()))
}
