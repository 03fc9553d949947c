//! The cases.

use stand::Verdict;
use stand::record::Record;

mod answers;
mod keys;
mod list;
mod models;
mod seeds;
mod start;
mod stores;

pub type Case = fn(&Record) -> Result<Verdict, String>;

pub fn find(name: &str) -> Option<Case> {
    match name {
        "last-key" => Some(keys::last_key),
        "incomplete-entry" => Some(list::incomplete_entry),
        "unreadable-entry" => Some(list::unreadable_entry),
        "seeds" => Some(seeds::seeds),
        "isolated" => Some(models::isolated),
        "two-models" => Some(models::two_models),
        "late-answer" => Some(answers::late_answer),
        "first-start" => Some(start::first_start),
        "restarted-store" => Some(stores::restarted_store),
        _ => None,
    }
}

/// An error as a text.
fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

/// A route of a configuration.
fn route(name: &str, prefix: &str, kind: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"pathPrefix\":\"{prefix}\",\"routeType\":\"{kind}\",\
         \"timeoutMs\":1500,\"targetLatencyMs\":150,\"priority\":2,\"service\":\"{service}\",\"maxAttempts\":2,\
         \"public\":false,\"sticky\":false,\"resumable\":false}}"
    )
}

/// A configuration with these routes, services and tenants.
fn document(version: u64, routes: &[String], services: &[&str], tenants: &str) -> String {
    let service = |name: &&str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{tenants}]}}",
        routes.join(","),
        services.join(",")
    )
}
