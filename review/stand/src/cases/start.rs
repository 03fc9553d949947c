//! One of the machines with a disk is lost as the system starts for the first time.

use stand::platform::List;
use stand::record::Record;
use stand::replica::Replica;
use stand::system::System;
use stand::{Verdict, sleep_ms, trouble};

use super::{document, route, text};

pub fn first_start(record: &Record) -> Result<Verdict, String> {
    let list = List::start().map_err(text)?;
    let replica = Replica::start("i-0", "api", "z0", record).map_err(text)?;
    list.show(vec![replica.entry()]);
    let mut system = System::start_with(4, list.addr, record).map_err(text)?;
    if trouble() {
        let delay = std::env::var("DELAY").ok().and_then(|text| text.parse().ok()).unwrap_or(100);
        sleep_ms(delay);
        system.kill(0);
    }
    let routes = [route("order", "/order/", "unsafe", "api")];
    let document = document(5, &routes, &["api"], "{\"name\":\"shop\",\"apiKeys\":[\"k0k0\"]}");
    for round in 0..60 {
        for machine in 1..system.machines.len() {
            if system.put_once(machine, &document) == 200 {
                record.line(&format!("acknowledged in round {round}"));
                return Ok(Verdict::Held);
            }
        }
        if record.now_ms() > 60_000 {
            break;
        }
    }
    Ok(Verdict::Broken)
}
