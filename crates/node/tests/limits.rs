//! Rate-limited servers and up to hundreds of entries, without a network.

mod cluster;

use base::prelude::*;
use test_case::test_case;

use cluster::{Cluster, Disturbance, Plan, allowed};

fn simulate(plan: Plan) -> Cluster {
    let cluster = Cluster::simulate(plan);
    let Plan { entries, per_second, limited_servers, .. } = cluster.plan;
    for server in 1..=limited_servers {
        let worst = cluster.worst(server);
        let (used, permit_requests) = (cluster.used(server), cluster.permit_requests);
        println!(
            "{entries} entries, {per_second} a second: {worst} in 4 s, {used:.2} used, \
             {permit_requests} permits requested"
        );
        assert!(worst <= allowed(per_second), "{worst} in 4 s; allowed {}", allowed(per_second));
    }
    cluster
}

// Guards against incident LIMIT: if each entry enforces the limit by itself, the server gets that rate from each.
#[test_case(4, 0.4; "four entries, less than one a second")]
#[test_case(4, 1.5; "four entries")]
#[test_case(4, 25.0; "four entries, many a second")]
#[test_case(16, 1.5; "sixteen entries")]
#[test_case(64, 4.0; "sixty-four entries")]
#[test_case(300, 0.4; "three hundred entries, less than one a second")]
#[test_case(300, 1.5; "three hundred entries")]
#[test_case(300, 25.0; "three hundred entries, many a second")]
fn all_entries_together_keep_to_the_limit_and_use_it(entries: usize, per_second: f64) {
    let cluster = simulate(Plan::new(entries, per_second));
    assert!(cluster.used(1) >= 0.6, "{:.2} of the limit", cluster.used(1));
    let worst = cluster.worst_of_all(1);
    println!("{entries} entries, {per_second} a second: {worst} in 4 s of all");
    assert!(worst <= allowed(per_second), "{worst} in 4 s of all; allowed {}", allowed(per_second));
    assert_eq!(cluster.rejections, [] as [u64; 0], "the other servers accept the rest");
}

// Guards against exceeding the limit when the issuer of permits is lost, changes, or exists twice.
#[test_case(&[(6_000, Disturbance::Leads(0, None)), (8_000, Disturbance::Leads(1, Some(2)))]; "it changes after two seconds")]
#[test_case(&[(6_000, Disturbance::Leads(0, None)), (6_001, Disturbance::Leads(1, Some(2)))]; "it changes immediately")]
#[test_case(&[(6_000, Disturbance::Leads(0, None))]; "there is no leader any more")]
#[test_case(&[(0, Disturbance::Leads(0, None))]; "there was never a leader")]
#[test_case(&[(6_000, Disturbance::Leads(1, Some(2))), (9_000, Disturbance::Leads(0, None))]; "two leaders for three seconds")]
#[test_case(&[(3_000, Disturbance::Loss(0.3)), (12_000, Disturbance::Loss(0.0))]; "frames are lost")]
#[test_case(&[(3_000, Disturbance::Loss(1.0)), (12_000, Disturbance::Loss(0.0))]; "all frames are lost")]
#[test_case(&[(4_000, Disturbance::Restart(2)), (7_000, Disturbance::Restart(3)), (7_500, Disturbance::Restart(2))]; "entries restart")]
fn the_limit_is_kept_whoever_leads(disturbances: &[(u64, Disturbance)]) {
    for (entries, per_second) in [(8, 0.4), (8, 1.5), (8, 4.0), (24, 2.0)] {
        let disturbances = disturbances.to_vec();
        let cluster = simulate(Plan { disturbances, ..Plan::new(entries, per_second) });
        assert!(cluster.used(1) >= 0.25, "{:.2} of the limit", cluster.used(1));
    }
}

// Guards against lifting the limit because of a single response without a notice, or of responses that overtake each
// other.
#[test]
fn a_response_without_a_notice_does_not_lift_the_limit() {
    for seed in 0..4 {
        simulate(Plan { silent: 0.05, seed, ..Plan::new(8, 1.5) });
    }
}

// Guards against a limit that is never lifted: a server that gets no requests cannot report that its limit is over.
#[test_case(0.0; "a limit of zero")]
#[test_case(0.5; "a low limit")]
#[test_case(4.0; "a higher limit")]
fn a_server_whose_limit_was_lifted_is_fully_used_again(per_second: f64) {
    // The next permit, the one after it, and the responses and frames of both.
    let max_ms =
        (limit::permit_interval(per_second) + Duration::from_secs(1) + Duration::from_secs(2))
            .as_millis() as u64;
    for seed in 0..6 {
        let plan = Plan { notice_until: 10_000, end: 30_000, seed, ..Plan::new(8, per_second) };
        let notice_until = plan.notice_until;
        let cleared_at =
            Cluster::simulate(plan).cleared_at.expect("all entries have lifted the limit");
        println!("{per_second} a second: lifted after {} ms", cleared_at - notice_until);
        assert!(cleared_at - notice_until <= max_ms, "after {} ms", cleared_at - notice_until);
    }
}

// Guards against incident LIMIT where all servers are rate-limited: excess requests are rejected, and their retries do
// not come together.
#[test]
fn requests_that_no_server_admits_are_rejected() {
    let plan = Plan { servers: 3, limited_servers: 3, load: 40.0, ..Plan::new(8, 4.0) };
    let cluster = simulate(plan);
    for server in 1..=3 {
        assert!(cluster.used(server) >= 0.7, "{:.2} of the limit", cluster.used(server));
    }
    assert!(!cluster.rejections.is_empty());
}
