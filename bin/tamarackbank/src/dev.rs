//! The `dev` command, which runs the whole system in one process, and the `fake` command.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use conf::Settings;
use eyre::{WrapErr, bail};

use crate::args;

/// Capacity of a stand-in store, bytes.
const STORE_BYTES: usize = 1 << 30;
/// Link rate of a stand-in store, bytes per second.
const STORE_RATE: u64 = 200 << 20;
/// Time within which the first records must be accepted.
const FIRST_RECORDS_TIMEOUT: Duration = Duration::from_secs(20);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the whole system with stand-in servers.
pub fn run(dev: &args::Dev) -> eyre::Result<()> {
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let engine = fake::engine::start(fake::engine::Settings::default())?;
    let plain = fake::plain::start(local, Duration::from_millis(5))?;
    let store = fake::store::start(local, STORE_BYTES, STORE_RATE)?;
    let text = format!(
        "[process]\nname = dev\nroles = entry, keeper, agent\nlink = 127.0.0.1:0\n\
         operators = {}\ndata = {}\n[keeper]\nvoters = dev\n[entry]\ncallers = {}\n\
         [agent]\nserver = {engine}\nserves = demo\n[stores]\nstore-1 = {store}\n",
        dev.operators,
        dev.data.display(),
        dev.callers
    );
    let main = settings(&text)?;
    let mut running = edge::start(&main).wrap_err("cannot start")?;
    let text = format!(
        "[process]\nname = dev-probes\nroles = agent\nlink = 127.0.0.1:0\n\
         operators = 127.0.0.1:0\n[agent]\nkind = plain\nserver = {plain}\nserves = probes\n\
         [peers]\ndev = {}\n",
        running.link
    );
    let probes = edge::start(&settings(&text)?).wrap_err("cannot start")?;
    put_first_records(running.operators)?;
    print_examples(dev);
    let stopper = probes.stopper();
    crate::finish(&mut running, move || stopper.stop())
}

fn settings(text: &str) -> eyre::Result<Settings> {
    match Settings::parse(text) {
        Ok(settings) => Ok(settings),
        Err(errors) => bail!("invalid built-in settings: {errors:?}"),
    }
}

/// Puts the workspace and the service that the printed examples use. Records of an earlier run stay as they are:
/// the put then fails with a conflict, 409.
fn put_first_records(operators: SocketAddr) -> eyre::Result<()> {
    let key = edge::key_hash("demo");
    let workspace = format!(r#"{{"body":{{"keys":["{key}"]}}}}"#);
    let service = r#"{"body":{"once":[{"method":"POST","prefix":"/schedules"}]}}"#;
    let config = ureq::Agent::config_builder().http_status_as_error(false).build();
    let agent = ureq::Agent::from(config);
    let deadline = Instant::now() + FIRST_RECORDS_TIMEOUT;
    for (path, body) in [("workspace/demo", workspace.as_str()), ("service/probes", service)] {
        let url = format!("http://{operators}/v1/records/{path}");
        loop {
            let response = agent.put(&url).header("x-operator", "dev").send(body);
            let status = response.map_or(503, |response| response.status().as_u16());
            if status == 200 || status == 409 {
                break;
            }
            if Instant::now() > deadline {
                bail!("record {path} was not accepted within {FIRST_RECORDS_TIMEOUT:?}");
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }
    Ok(())
}

fn print_examples(dev: &args::Dev) {
    let (callers, operators) = (dev.callers, dev.operators);
    eprintln!("callers on http://{callers}, operators on http://{operators}; try:");
    eprintln!(
        "  curl -N http://{callers}/v1/completions -H 'Authorization: Bearer demo' \\\n    \
         -d '{{\"model\":\"demo\",\"prompt\":\"why does my mint wilt?\",\"max_tokens\":20,\"stream\":true}}'"
    );
    eprintln!(
        "  curl http://{callers}/svc/probes/schedules -H 'Authorization: Bearer demo' \\\n    \
         -H 'Idempotency-Key: pot-7' -d '{{\"water\":\"06:00\"}}'"
    );
    eprintln!("  tamarack --at {operators} servers");
}

/// Runs one stand-in server until the process is killed.
pub fn fake(fake: &args::Fake) -> eyre::Result<()> {
    let addr = match fake.kind.as_str() {
        "engine" => {
            let profile = fake::Profile {
                step_us: fake.step_us,
                slots: fake.slots,
                prefill: fake.prefill,
                blocks: fake.blocks,
                lose_every: fake.lose_every,
                ..fake::Profile::default()
            };
            let settings = fake::engine::Settings {
                addr: fake.addr,
                profile,
                version: fake.version.clone(),
                checks_tokens: fake.checks_tokens,
                ..fake::engine::Settings::default()
            };
            fake::engine::start(settings)
        }
        "plain" => fake::plain::start(fake.addr, Duration::from_micros(fake.step_us)),
        "store" => fake::store::start(fake.addr, STORE_BYTES, STORE_RATE),
        other => bail!("unknown stand-in '{other}'; allowed: engine, plain, store"),
    }
    .wrap_err("cannot start the stand-in")?;
    println!("listening on {addr}");
    loop {
        thread::park();
    }
}
