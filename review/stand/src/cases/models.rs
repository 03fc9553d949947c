//! Model replicas: tenants that become isolated, and replicas that hold two models.

use stand::engine::Engine;
use stand::http::{Answer, call};
use stand::platform::List;
use stand::record::Record;
use stand::system::{Client, System};
use stand::{Verdict, sleep_ms, trouble};

use super::text;

const CLINIC: &str = "nu6wsjnbanfqasnmgkcu";
const SHOP: &str = "yj8pjbvk9m68k7b2ex5w";

fn config(version: u64, models: &[&str], clinic_isolated: bool) -> String {
    let models: Vec<String> =
        models.iter().map(|name| format!("{{\"name\":\"{name}\"}}")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r\",\"host\":\"shop.example\",\"pathPrefix\":\"/ask/\",\
         \"routeType\":\"streaming\",\"timeoutMs\":4000,\"targetLatencyMs\":600,\"priority\":1,\"service\":\"llm\",\
         \"maxAttempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gapAimMs\":300}}],\
         \"services\":[{{\"name\":\"llm\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kvCapacityTokens\":43407,\"kvTokenBytes\":163840,\"linkMbps\":2200000.0,\
         \"moves\":true,\"backups\":true,\"managed\":true,\"stride\":6,\"maxConcurrency\":12,\"pinMs\":4000.0,\
         \"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[\
         {{\"name\":\"clinic\",\"apiKeys\":[\"{CLINIC}\"],\"priority\":1,\"isolated\":{clinic_isolated}}},\
         {{\"name\":\"shop\",\"apiKeys\":[\"{SHOP}\"],\"priority\":1,\"isolated\":false}}]}}",
        models.join(",")
    )
}

fn ask(system: &System, machine: usize, id: &str, key: &str, model: &str, parts: &str) -> Answer {
    let more = [
        ("X-Tamarackbank-Model", model),
        ("X-Tamarackbank-Token-Usage", "1250,80"),
        ("X-Tamarackbank-Prefix-Hash", parts),
    ];
    let client = Client {
        method: "POST",
        host: "shop.example",
        path: "/ask/me",
        id,
        key: Some(key),
        body: b"why is the mint wilting",
        more: &more,
    };
    system.request(machine, &client)
}

/// A tenant becomes isolated; another tenant then asks with the same first part.
pub fn isolated(record: &Record) -> Result<Verdict, String> {
    let list = List::start().map_err(text)?;
    let mut engines = Vec::new();
    for number in 0..3 {
        let (id, zone) = (format!("i-{number}"), format!("z{number}"));
        engines.push(Engine::start(&id, "llm", &zone, &["m0"], record).map_err(text)?);
    }
    list.show(engines.iter().map(Engine::entry).collect());
    let system = System::start(list.addr, record).map_err(text)?;
    if system.put(&config(5, &["m0"], false))? != 200 {
        return Err("the first configuration was refused".to_owned());
    }
    system.wait_ready()?;
    sleep_ms(5_000);
    for number in 0..12 {
        let parts = format!("5c1e07a2:800,91bd3f06:400,c{number:07x}:50");
        let answer = ask(&system, number % 3, &format!("clinic-{number}"), CLINIC, "m0", &parts);
        if answer.status != 200 {
            return Err(format!("a proper request was answered {}", answer.status));
        }
    }
    if system.put(&config(7, &["m0"], trouble()))? != 200 {
        return Err("the second configuration was refused".to_owned());
    }
    let acknowledged_ms = record.now_ms();
    // Longer than `configConvergeMs`.
    sleep_ms(6_000);
    for number in 0..12 {
        let parts = format!("5c1e07a2:800,91bd3f06:400,d{number:07x}:50");
        ask(&system, number % 3, &format!("shop-{number}"), SHOP, "m0", &parts);
    }
    let runs: Vec<_> = engines.iter().flat_map(Engine::runs).collect();
    let late = runs.iter().filter(|run| run.at_ms > acknowledged_ms && run.tenant == "shop");
    let (mut all, mut foreign) = (0, 0);
    for run in late {
        all += 1;
        foreign += usize::from(run.used.iter().any(|(_, by)| by == "clinic"));
    }
    record.line(&format!(
        "{foreign} of {all} requests of tenant shop used parts that requests of tenant clinic had made, 6 s and more \
         after the acknowledgement at {acknowledged_ms} ms"
    ));
    if all < 12 {
        return Err(format!("{all} of 12 proper requests ran"));
    }
    Ok(if trouble() && foreign > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Each replica holds two models; new weights of each are named, one after the other.
pub fn two_models(record: &Record) -> Result<Verdict, String> {
    let list = List::start().map_err(text)?;
    let models = ["m0", "m1"];
    let mut engines = Vec::new();
    for number in 0..4 {
        let (id, zone) = (format!("i-{number}"), format!("z{}", number % 3));
        engines.push(Engine::start(&id, "llm", &zone, &models, record).map_err(text)?);
    }
    let show = || list.show(engines.iter().map(Engine::entry).collect());
    show();
    let system = System::start(list.addr, record).map_err(text)?;
    if system.put(&config(5, &models, false))? != 200 {
        return Err("the configuration was refused".to_owned());
    }
    system.wait_ready()?;
    sleep_ms(5_000);
    let ask_both = |round: &str| {
        let mut served = [0, 0];
        for number in 0..12 {
            for (index, model) in models.iter().enumerate() {
                let parts = format!("5c1e07a2:800,e{number:07x}:50");
                let id = format!("{round}-{model}-{number}");
                served[index] +=
                    u32::from(ask(&system, number % 3, &id, SHOP, model, &parts).status == 200);
            }
        }
        record.line(&format!(
            "{round}: of 12 requests each, {} on m0 and {} on m1 were served",
            served[0], served[1]
        ));
        served
    };
    if ask_both("before") != [12, 12] {
        return Err("proper requests were not served".to_owned());
    }
    let named: &[&str] = if trouble() { &["m1", "m0"] } else { &[] };
    for model in named {
        for engine in &engines {
            engine.name_version(model, 2);
        }
        let body = format!("{{\"model\":\"{model}\",\"version\":2}}");
        let headers = [("Content-Type", "application/json")];
        let wait = std::time::Duration::from_secs(2);
        let control = system.machines[0].control();
        let answer = call(control, "POST", "/v1/version-put", &headers, body.as_bytes(), wait);
        record.line(&format!("operator names {model} version 2: {}", answer.status));
        if answer.status != 200 {
            return Err(format!("naming a version was answered {}", answer.status));
        }
        // Longer than `versionAllMs`, in a stretch without any disruption. The list follows the servers.
        for _ in 0..25 {
            sleep_ms(500);
            show();
        }
        ask_both(&format!("after {model} version 2"));
    }
    let older = engines.iter().filter(|engine| engine.version("m0") < 2).count();
    record
        .line(&format!("{older} of 4 servers hold an older version of m0 than the one named last"));
    Ok(if trouble() && older > 1 { Verdict::Broken } else { Verdict::Held })
}
