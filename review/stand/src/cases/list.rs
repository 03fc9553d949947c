//! Entries of another writer in the platform's list.

use stand::platform::List;
use stand::record::Record;
use stand::replica::Replica;
use stand::system::{Client, System};
use stand::{Verdict, sleep_ms, trouble};

use super::{document, route, text};

const KEY: &str = "nu6wsjnbanfqasnmgkcu";
const TENANT: &str = "{\"name\":\"shop\",\"apiKeys\":[\"nu6wsjnbanfqasnmgkcu\"],\"priority\":1}";

fn request(system: &System, machine: usize, path: &str, id: &str) -> u16 {
    let client = Client {
        method: "POST",
        host: "shop.example",
        path,
        id,
        key: Some(KEY),
        body: b"one pot",
        more: &[],
    };
    system.request(machine, &client).status
}

/// An entry without one of the fields that each entry has names a server of one service under another service.
pub fn incomplete_entry(record: &Record) -> Result<Verdict, String> {
    let list = List::start().map_err(text)?;
    let watering = Replica::start("i-7f3a91c2", "watering", "z0", record).map_err(text)?;
    let billing = Replica::start("i-52d0c6e4", "billing", "z1", record).map_err(text)?;
    list.show(vec![watering.entry(), billing.entry()]);
    let system = System::start(list.addr, record).map_err(text)?;
    let routes = [
        route("water", "/water/", "unsafe", "watering"),
        route("bill", "/bill/", "unsafe", "billing"),
    ];
    if system.put(&document(5, &routes, &["watering", "billing"], TENANT))? != 200 {
        return Err("the configuration was refused".to_owned());
    }
    system.wait_ready()?;
    sleep_ms(5_000);
    for machine in 0..3 {
        for path in ["/water/now", "/bill/now"] {
            let status =
                request(&system, machine, path, &format!("before-{machine}{}", &path[..2]));
            if status != 200 {
                return Err(format!("a proper request was answered {status}"));
            }
        }
    }
    if trouble() {
        // Like each entry, but without `coldLeftMs`.
        let foreign = format!(
            "{{\"service\":\"watering\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"id\":\"{}\"}}",
            billing.addr, billing.id
        );
        record.line(&format!("the list has another entry: {foreign}"));
        list.show(vec![watering.entry(), billing.entry(), foreign.into_bytes()]);
    }
    sleep_ms(5_000);
    for round in 0..10 {
        for machine in 0..3 {
            request(&system, machine, "/water/now", &format!("water-{round}-{machine}"));
            request(&system, machine, "/bill/now", &format!("bill-{round}-{machine}"));
        }
        sleep_ms(100);
    }
    let at = |replica: &Replica, prefix: &str| {
        replica.runs().iter().filter(|run| run.id().starts_with(prefix)).count()
    };
    let wrong = at(&billing, "water-") + at(&watering, "bill-");
    record.line(&format!(
        "of 30 requests each: watering ran {} of its own, billing {} of its own; {wrong} ran at the other service",
        at(&watering, "water-"),
        at(&billing, "bill-"),
    ));
    Ok(if wrong > 0 { Verdict::Broken } else { Verdict::Held })
}

/// One entry holds bytes that can't be read, while a server leaves and then ends.
pub fn unreadable_entry(record: &Record) -> Result<Verdict, String> {
    let list = List::start().map_err(text)?;
    let mut replicas = Vec::new();
    for number in 0..8 {
        let (id, zone) = (format!("i-{number}"), format!("z{}", number % 3));
        replicas.push(Replica::start_working(&id, "api", &zone, 300, record).map_err(text)?);
    }
    let foreign = b"{\"service\":\"api\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\xff\xfe\",\"version\":\"v1\",\
        \"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"id\":\"i-\xff\"}"
        .to_vec();
    let show = |bad: bool| {
        let mut entries: Vec<Vec<u8>> = replicas.iter().map(Replica::entry).collect();
        if bad {
            entries.push(foreign.clone());
        }
        list.show(entries);
    };
    show(false);
    let system = System::start(list.addr, record).map_err(text)?;
    let routes = [route("order", "/order/", "unsafe", "api")];
    if system.put(&document(5, &routes, &["api"], TENANT))? != 200 {
        return Err("the configuration was refused".to_owned());
    }
    system.wait_ready()?;
    sleep_ms(5_000);
    for machine in 0..3 {
        let status = request(&system, machine, "/order/new", &format!("before-{machine}"));
        if status != 200 {
            return Err(format!("a proper request was answered {status}"));
        }
    }
    if trouble() {
        record.line("the list has another entry, with bytes that are no UTF-8");
    }
    show(trouble());
    sleep_ms(3_000);
    replicas[0].leave();
    show(trouble());
    let left_ms = record.now_ms();
    // Longer than `drainMs` and the lag of the list.
    sleep_ms(6_000);
    let lost = std::thread::scope(|scope| {
        let send = |machine: usize, number: usize| {
            let system = &system;
            let id = format!("after-{number}-{machine}");
            scope.spawn(move || request(system, machine, "/order/new", &id))
        };
        let calls: Vec<_> = (0..48).map(|number| send(number % 3, number / 3)).collect();
        sleep_ms(200);
        // It has drained for twice `drainMs`.
        replicas[0].end();
        let answers = calls.into_iter().map(|call| call.join().unwrap_or_default());
        answers.filter(|status| *status != 200).count()
    });
    let late = replicas[0].runs().iter().filter(|run| run.at_ms > left_ms + 3_000).count();
    record.line(&format!(
        "{late} of 48 requests ran at the server later than 3 s after the list showed that it leaves; \
         {lost} of 48 were not answered with success"
    ));
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}
