//! One process with everything in it, and single stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use conf::Settings;
use eyre::{WrapErr, bail};

use crate::args;

const STORE_BYTES: usize = 1 << 30;
const STORE_RATE: u64 = 200 << 20;

/// Runs the whole system with stand-ins.
pub fn run(dev: &args::Dev) -> eyre::Result<()> {
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let engine = fake::engine::start(fake::engine::Settings::default())?;
    fake::plain::start(local, Duration::from_millis(5))?;
    let text = format!(
        "[process]\nname = dev\nroles = entry, agent\nlink = 127.0.0.1:0\noperators = {}\n\
         [entry]\ncallers = {}\n[agent]\nserver = {engine}\nserves = demo\n",
        dev.operators, dev.callers
    );
    let Ok(settings) = Settings::parse(&text) else {
        bail!("the built-in settings are not valid");
    };
    eprintln!("callers on http://{}, operators on http://{}; try:", dev.callers, dev.operators);
    eprintln!(
        "  curl -N http://{}/v1/completions -H 'Authorization: Bearer demo' \\\n    \
         -d '{{\"model\":\"demo\",\"prompt\":\"why does my mint wilt?\",\"max_tokens\":20,\"stream\":true}}'",
        dev.callers
    );
    crate::run(&settings)
}

/// Runs one stand-in until the process is ended.
pub fn fake(fake: &args::Fake) -> eyre::Result<()> {
    let addr = match fake.kind.as_str() {
        "engine" => {
            let profile = fake::Profile {
                step_us: fake.step_us,
                slots: fake.slots,
                prefill: fake.prefill,
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
        other => bail!("'{other}' is not engine, plain or store"),
    }
    .wrap_err("cannot start the stand-in")?;
    println!("listening on {addr}");
    loop {
        std::thread::park();
    }
}
