//! Writes decisions and state changes to the log and counts them.

use node::decision::{Decision, Exclusion, Source};
use node::forward::Progress;
use quarantine::{Cause, Hold};
use resume::Refusal;

use crate::metrics::{GOES_ON, Metrics};

/// Writes a decision to the log and counts it.
pub fn write(decision: &Decision, metrics: &Metrics) {
    let millis = |time: std::time::Duration| time.as_millis() as u64;
    match decision {
        Decision::Ended {
            request,
            route,
            server,
            software,
            resumes,
            attempts,
            inputs,
            code,
            status,
            took,
            first,
        } => {
            metrics.record_request(*code, *took, *first);
            metrics.record_save_permit(inputs.save_permit);
            let allowed = inputs.allowed;
            if *status < 500 && inputs.version < allowed.newest {
                metrics.record_old_weights();
            }
            log::info!(
                request:% = request, route:% = route,
                server = server.as_deref().unwrap_or_default(), software = software.as_deref().unwrap_or_default(),
                resumes = resumes.as_deref().unwrap_or_default(), tries = u64::from(*attempts),
                reading = inputs.prefill_tokens, fetching = inputs.transfer_tokens, ahead = inputs.queued_tokens,
                beside = u64::from(inputs.in_flight), cost_ms = inputs.cost_ms as u64,
                list_age_ms = millis(inputs.list_age), version = inputs.version, version_least = allowed.oldest,
                version_newest = allowed.newest, version_newest_age_ms = millis(allowed.newest_age),
                limit = inputs.limit.map_or(0.0, fleet::Limit::per_second),
                fetch_from = inputs.fetch_from.map_or_else(String::new, |source| source.to_string()),
                fetch_until_ms = inputs.fetch_until_ms.unwrap_or(0), saves = inputs.saves,
                save_permit = inputs.save_permit.as_str(),
                excluded = inputs.exclusion.map_or("", Exclusion::as_str),
                queued_ms = millis(inputs.queue_wait), connection = inputs.connection.number,
                carried = u64::from(inputs.connection.carried), refused = u64::from(inputs.connection.refused),
                code = code.number(), status = u64::from(*status), took_ms = millis(*took),
                first_ms = first.map_or(0, millis);
                "request ended"
            );
        }
        Decision::Waits { request, service, rank, queued, expected, at_most } => {
            log::info!(
                request:% = request, service:% = service, rank = u64::from(*rank), queued = *queued,
                expected_ms = millis(*expected), at_most_ms = millis(*at_most);
                "request waits"
            );
        }
        Decision::WaitEnded { request, rank, waited, outcome } => {
            metrics.record_queue_wait(*outcome, *waited);
            log::info!(
                request:% = request, rank = u64::from(*rank), waited_ms = millis(*waited),
                outcome = outcome.as_str();
                "request waits no longer"
            );
        }
        Decision::Resumed { request, server, software, from_server, from_software } => {
            metrics.record_resumed(software == from_software);
            log::info!(
                request:% = request, server:% = server, software:% = software, from:% = from_server,
                from_software:% = from_software;
                "stream resumed at another server"
            );
        }
        Decision::Resumption(found) => {
            let outcome = found.refusal.map_or(GOES_ON, Refusal::as_str);
            metrics.record_resumption(outcome);
            log::info!(
                request:% = found.request, resumes:% = found.first_attempt, within_response = found.within_response,
                software:% = found.software, source:% = found.source, servers = found.listed, usable = found.usable,
                waited_ms = millis(found.waited), outcome;
                "stream resumption"
            );
        }
        Decision::AttemptFailed { request, server, reason, action, progress, segments } => {
            metrics.record_failed_attempt();
            let body_ms = match progress {
                Progress::Body(time) => millis(*time),
                Progress::Sent | Progress::Head => 0,
            };
            log::warn!(
                request:% = request, server:% = server, why:% = reason, then = action, progress = progress.as_str(),
                body_ms, segments = hex_list(segments);
                "attempt failed"
            );
        }
        Decision::Limited { server, limit, from, age, calls } => {
            let limit =
                limit.map_or_else(|| "none".to_owned(), |limit| limit.per_second().to_string());
            let (request, from) = source(from);
            log::info!(
                server:% = server, limit, request, from, age_ms = millis(*age), requests = calls.requests,
                reports = calls.reports, reads = calls.reads, orders = calls.orders;
                "server rate limit changed"
            );
        }
        Decision::Cold { server, source, left, limit, calls } => {
            let limit =
                limit.map_or_else(|| "none".to_owned(), |limit| limit.per_second().to_string());
            log::info!(
                server:% = server, cold = source.is_some(), source = source.map_or("", fleet::ColdSource::as_str),
                left_ms = millis(*left), limit, requests = calls.requests;
                "server cold state changed"
            );
        }
        Decision::Permit {
            request,
            server,
            outcome,
            limit,
            age,
            wait,
            issued,
            last_resort,
            retry_after,
        } => {
            metrics.record_permit(*outcome);
            let limit = limit.map_or(0.0, fleet::Limit::per_second);
            log::info!(
                request:% = request, server:% = server, outcome = outcome.as_str(), limit, age_ms = millis(*age),
                wait_ms = millis(*wait), issued = u64::from(*issued), last = last_resort,
                back_ms = retry_after.map_or(0, millis);
                "permit for rate-limited server"
            );
        }
        Decision::LimitUnreadable { server } => {
            metrics.record_invalid_limit();
            log::warn!(server:% = server; "invalid server rate limit");
        }
        Decision::ServerLeaving { server, from, age } => {
            metrics.record_leaving();
            let (request, from) = source(from);
            log::info!(server:% = server, request, from, age_ms = millis(*age); "server is leaving");
        }
        Decision::BackoffRequested { server, request, asked, time } => {
            metrics.record_backoff();
            log::info!(
                server:% = server, request:% = request, asked_ms = millis(*asked), time_ms = millis(*time);
                "server requested backoff"
            );
        }
        Decision::BackoffUnreadable { server } => {
            metrics.record_invalid_backoff();
            log::warn!(server:% = server; "invalid server backoff");
        }
        Decision::ServerCrashed { crash, age } => {
            metrics.record_crash("unknown");
            let candidates = crash.candidates();
            let requests: Vec<&str> = candidates.iter().map(|found| &*found.request).collect();
            let segments: Vec<String> =
                candidates.iter().map(|found| hex_list(&found.content.segments)).collect();
            let digests: Vec<String> = candidates
                .iter()
                .map(|found| {
                    found.content.digest.map(|digest| format!("{digest:x}")).unwrap_or_default()
                })
                .collect();
            let entries: Vec<&str> = crash.losses().map(|loss| &*loss.entry).collect();
            log::warn!(
                server:% = crash.server.id, lost = u64::from(crash.lost()), entries = entries.join(","),
                candidates = requests.join(","), segments = segments.join(" "), digests = digests.join(","),
                age_ms = millis(*age);
                "server crash observed"
            );
        }
        Decision::CrashExplained { server, hold } => {
            if hold.is_request() {
                metrics.record_crash("request");
                log::warn!(server:% = server.id, digest = causes(hold); "server crash explained by a request");
            } else {
                metrics.record_crash("segment");
                log::warn!(server:% = server.id, segments = causes(hold); "server crash explained by prompt segments");
            }
        }
        Decision::Quarantined { held, hold, age } => {
            let (causes, servers, age_ms) = (causes(hold), hold.servers().join(","), millis(*age));
            match (hold.is_request(), *held) {
                (false, true) => {
                    log::warn!(segments = causes, servers, age_ms; "prompt segments quarantined");
                }
                (false, false) => {
                    log::warn!(segments = causes, servers, age_ms; "prompt segments released from quarantine");
                }
                (true, true) => {
                    log::warn!(digest = causes, servers, age_ms; "request quarantined");
                }
                (true, false) => {
                    log::warn!(digest = causes, servers, age_ms; "request released from quarantine");
                }
            }
        }
        Decision::HeldBack { request, hold, last_crash, trials, retry_after } => {
            metrics.record_held_back();
            let (causes, servers) = (causes(hold), hold.servers().join(","));
            let (age_ms, trials, back_ms) =
                (millis(*last_crash), u64::from(*trials), millis(*retry_after));
            if hold.is_request() {
                log::info!(
                    request:% = request, digest = causes, servers, age_ms, trials, back_ms;
                    "quarantined request rejected"
                );
            } else {
                log::info!(
                    request:% = request, segments = causes, servers, age_ms, trials, back_ms;
                    "request with quarantined prompt segments rejected"
                );
            }
        }
        Decision::TrialPermitted(trial) => {
            metrics.record_trial();
            let (cause, number) = (hex(&trial.cause), u64::from(trial.number));
            if trial.cause.is_request() {
                log::info!(digest = cause, entry:% = trial.entry, number; "trial of a quarantined request permitted");
            } else {
                log::info!(
                    segments = cause, entry:% = trial.entry, number;
                    "trial of a quarantined prompt segment permitted"
                );
            }
        }
        Decision::Listed { servers, leaving } => {
            log::info!(servers, leaving; "server list changed");
        }
        Decision::ListUnavailable { error, age_ms } => {
            log::warn!(error:% = error, age_ms; "server list unavailable");
        }
        Decision::Ordered { change, from } => {
            log::info!(
                server:% = change.id, model:% = change.model, version = change.version,
                token = change.token, from;
                "weight version change ordered"
            );
        }
        Decision::Weights { model, version, from } => {
            log::info!(model:% = model, version, from; "weight version in force");
        }
        Decision::VersionReported { server, version, from, orders } => {
            log::info!(server:% = server, version, from, orders; "server reported its weight version");
        }
        Decision::Ejected { server, reason } => {
            log::warn!(server:% = server, why:% = reason; "server ejected");
        }
        Decision::InForce { revision, routes, ready } => {
            log::info!(revision:% = revision, routes, ready; "configuration in force");
        }
        Decision::Evacuation { zone, active, by } => {
            log::info!(zone:% = zone, active, by:% = by; "zone evacuation changed");
        }
        Decision::InventoryRead { location, segments, took } => {
            log::info!(place:% = location, parts = segments, took_ms = millis(*took); "prompt segment inventory read");
        }
        Decision::VersionsLeased { model, versions, term, clock_ms } => {
            log::info!(
                model:% = model, versions = decimal_list(versions), term, clock_ms;
                "weight versions leased for fetches"
            );
        }
        Decision::Freed(free) => {
            log::info!(
                store:% = free.store, model:% = free.model, versions = decimal_list(&free.versions),
                parts = free.segments, floor = free.floor, held_by:% = free.held_by, holders = free.holders,
                clock_ms = free.clock_ms, last_lease_ms = free.last_lease_ms, list_age_ms = millis(free.list_age);
                "stale prompt segments to free"
            );
        }
        Decision::Stalled { time } => {
            log::warn!(stalled_ms = millis(*time); "process stalled");
        }
        Decision::Leadership { term, voters } => {
            let voters: Vec<String> = voters
                .iter()
                .map(|(name, answered)| match answered {
                    Some(ago) => format!("{name} {} ms", millis(*ago)),
                    None => format!("{name} never"),
                })
                .collect();
            let voters = voters.join(", ");
            match term {
                Some(term) => log::info!(term, voters; "became leader"),
                None => log::info!(voters; "lost leadership"),
            }
        }
        Decision::PeerLearned { process, addr, from } => {
            log::info!(process:% = process, addr:%, from:%; "peer address learned");
        }
        Decision::PeersLoaded { processes } => {
            log::info!(processes; "peer addresses loaded");
        }
        Decision::Leaderless { time, term, voters } => {
            let voters: Vec<String> = voters
                .iter()
                .map(|(name, up)| format!("{name} {}", if *up { "linked" } else { "not linked" }))
                .collect();
            log::warn!(silent_ms = millis(*time), term, voters = voters.join(", "); "no leader known");
        }
        Decision::LateReply { from, number, first_number } => {
            log::warn!(from:% = from, number, first_number; "reply to an earlier incarnation dropped");
        }
        Decision::Keeper { keeper, up } => {
            log::info!(keeper:% = keeper, up; "keeper connection changed");
        }
    }
}

/// The request whose response contained the notice, or the process that forwarded it; the other one is empty.
fn source(from: &Source) -> (&str, &str) {
    match from {
        Source::Answer(request) => (request, ""),
        Source::Process(process) => ("", process),
    }
}

/// IDs of quarantined prompt segments, or the digest of a quarantined request.
fn causes(hold: &Hold) -> String {
    hold.causes.iter().map(hex).collect::<Vec<_>>().join(",")
}

fn hex(cause: &Cause) -> String {
    match cause {
        Cause::Segment { id, .. } => format!("{id:x}"),
        Cause::Request { digest, .. } => format!("{digest:x}"),
    }
}

fn decimal_list(numbers: &[u64]) -> String {
    let numbers: Vec<String> = numbers.iter().map(u64::to_string).collect();
    numbers.join(",")
}

/// IDs of prompt segments, as callers write them.
fn hex_list(segments: &[u64]) -> String {
    let ids: Vec<String> = segments.iter().map(|id| format!("{id:x}")).collect();
    ids.join(",")
}
