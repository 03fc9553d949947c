//! Routes by host and longest prefix, and validation of full configurations.

use base::Name;
use record::{Change, Kind, Record, View, full_config, schema};
use serde_json::{Value, json};
use test_case::test_case;

fn part(kind: Kind, name: &str, body: &Value) -> full_config::Part {
    full_config::Part { kind, name: Name::new(name), body: body.to_string() }
}

fn route(prefix: &str, service: &str) -> Value {
    json!({
        "host": "shop", "prefix": prefix, "timeout_ms": 100,
        "backends": [{ "service": service, "weight": 1 }],
    })
}

fn view(parts: &[(Kind, &str, Value)]) -> View {
    let mut view = View::default();
    let position = base::Revision { epoch: 1, index: 5 };
    let change = |(kind, name, body): &(Kind, &str, Value)| Change {
        kind: *kind,
        name: Name::new(name),
        revision: position,
        by: Name::new("op"),
        at_ms: 0,
        record: Some(Record {
            kind: *kind,
            name: Name::new(name),
            version: 1,
            schema: schema::newest(*kind),
            min_schema: 1,
            body: body.to_string().into(),
            created: position,
            revision: position,
            by: Name::new("op"),
            at_ms: 0,
        }),
    };
    view.apply(&parts.iter().map(change).collect::<Vec<Change>>());
    view
}

#[test_case("shop", "/a/x", Some("outer"); "one prefix fits")]
#[test_case("shop", "/a/b/x", Some("inner"); "the longest wins")]
#[test_case("shop", "/a", None; "a prefix ends with its slash")]
#[test_case("other", "/a/x", None; "another host")]
fn the_longest_prefix_of_the_host_wins(host: &str, path: &str, found: Option<&str>) {
    let view = view(&[
        (Kind::Route, "outer", route("/a/", "svc")),
        (Kind::Route, "inner", route("/a/b/", "svc")),
    ]);
    let route = view.route_table().find(host, path);
    assert_eq!(route.map(|route| &*route.name), found);
}

#[test]
fn changes_of_one_revision_are_all_applied() {
    let view = view(&[
        (Kind::Service, "svc", json!({ "connections": 7 })),
        (Kind::Route, "r", route("/a/", "svc")),
    ]);
    assert_eq!(view.service("svc").and_then(|service| service.connections), Some(7));
    assert!(view.route_table().find("shop", "/a/").is_some());
}

#[test]
fn weights_of_a_route_share_its_requests() {
    let body = json!({
        "host": "shop", "prefix": "/a/", "timeout_ms": 100,
        "backends": [{ "service": "x", "weight": 3 }, { "service": "y", "weight": 1 }],
    });
    let view = view(&[(Kind::Route, "r", body)]);
    let route = view.route_table().find("shop", "/a/").expect("the route");
    let at = |point: f64| route.backend(point).map(|backend| backend.service.to_string());
    assert_eq!([at(0.0), at(0.74), at(0.76), at(0.999)].map(Option::unwrap), ["x", "x", "y", "y"]);
}

#[test_case(&[part(Kind::Route, "r", &route("/a/", "nobody"))], "no service 'nobody'"; "unknown service")]
#[test_case(&[
    part(Kind::Service, "svc", &json!({})),
    part(Kind::Route, "r", &route("/a/", "svc")),
    part(Kind::Route, "s", &route("/a/", "svc")),
], "same host and prefix"; "two routes for one place")]
#[test_case(&[
    part(Kind::Workspace, "a", &json!({ "keys": ["k"] })),
    part(Kind::Workspace, "b", &json!({ "keys": ["k"] })),
], "shares a key"; "one key for two")]
#[test_case(&[part(Kind::Service, "s", &json!({})), part(Kind::Service, "s", &json!({}))], "twice"; "a name twice")]
#[test_case(&[part(Kind::Model, "m", &json!({}))], "not a part"; "a kind of its own")]
fn mistakes_between_parts_are_found(parts: &[full_config::Part], text: &str) {
    let found = full_config::errors(parts);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].contains(text), "{found:?}");
}

#[test_case(&json!({ "timeout_ms": 0 }); "no time")]
#[test_case(&json!({ "prefix": "a/" }); "no slash at the start")]
#[test_case(&json!({ "backends": [{ "service": "svc", "weight": 0 }] }); "no weight")]
#[test_case(&json!({ "backends": [] }); "no backend")]
#[test_case(&json!({ "repeat": "sometimes" }); "no such word")]
fn a_route_is_checked_as_a_record(change: &Value) {
    let mut body = route("/a/", "svc");
    for (key, value) in change.as_object().expect("an object") {
        body[key] = value.clone();
    }
    let parts = [part(Kind::Service, "svc", &json!({})), part(Kind::Route, "r", &body)];
    assert_eq!(full_config::errors(&parts).len(), 1, "{:?}", full_config::errors(&parts));
}
