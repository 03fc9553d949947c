//! The operators' command line.
//!
//! Exit codes: 0 success; 1 rejected or failed, also when a replay violates an invariant; 2 the process
//! cannot be reached.

mod args;
mod bench;
mod client;
mod orders;
mod records;
mod story;
mod table;
mod trace;

use std::process::ExitCode;

use args::{Args, Command};
use client::{Client, Error};

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let client = Client::new(&args.at, &args.key, &args.by, args.json);
    let result = match args.command {
        Command::Get(get) => records::get(&client, &get),
        Command::Put(put) => records::put(&client, &put),
        Command::Delete(delete) => records::delete(&client, &delete),
        Command::History(_) => records::history(&client),
        Command::Watch(watch) => records::watch(&client, &watch),
        Command::HashKey(hash) => {
            println!("{}", edge::key_hash(&hash.key));
            Ok(())
        }
        Command::Servers(_) => orders::servers(&client),
        Command::Wait(wait) => orders::wait(&client, &wait),
        Command::Drain(drain) => orders::drain(&client, &drain.server, true),
        Command::Undrain(undrain) => orders::drain(&client, &undrain.server, false),
        Command::Rollout(rollout) => orders::rollout(&client, &rollout),
        Command::Evacuate(evacuate) => orders::evacuate(&client, &evacuate),
        Command::Evacuations(_) => orders::evacuations(&client),
        Command::Dump(_) => orders::print_json(&client, "/dump"),
        Command::Ready(_) => orders::print_json(&client, "/ready"),
        Command::Explain(explain) => orders::explain(&client, &explain.request),
        Command::Quarantine(_) => orders::quarantine(&client),
        Command::Release(release) => orders::release(&client, &release),
        Command::Story(story) => story::show(&story),
        Command::Trace(generate) => trace::generate(&generate),
        Command::Bench(bench) => bench::run(&bench),
        Command::Replay(replay) => trace::replay(&replay, args.json),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Error::Rejected(text)) => {
            eprintln!("tamarack: {text}");
            ExitCode::from(1)
        }
        Err(Error::Unreachable(text)) => {
            eprintln!("tamarack: {text}");
            ExitCode::from(2)
        }
    }
}
