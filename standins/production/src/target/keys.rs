//! Keys that a target holds.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use crate::http;
use crate::http::Request;
use crate::journal::Hold;
use crate::journal::lock;
use crate::target::Shared;

fn number(body: &Value, name: &str) -> u64 {
    body.get(name).and_then(Value::as_u64).unwrap_or(0)
}

fn range(body: &Value) -> (u16, u16, u64) {
    let key = |name| u16::try_from(number(body, name)).unwrap_or(0);
    (key("from"), key("target"), number(body, "fence"))
}

/// Carries out a grant.
pub(super) fn grant(shared: &Shared, request: &Request) -> Vec<u8> {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let (first, last, fence) = range(&body);
    let mut fences = lock(&shared.fences);
    if fences.iter().any(|(from, to, known)| *from <= last && first <= *to && *known > fence) {
        return http::response(409, &[], b"");
    }
    fences.push((first, last, fence));
    let now = Instant::now();
    let until = now + Duration::from_millis(number(&body, "hold_ms"));
    let (target, born) = (shared.id.clone(), shared.born);
    let hold = Hold { target, born, first, last, fence, from: now, until };
    let same = |known: &Hold| {
        (&known.target, known.born) == (&hold.target, hold.born)
            && (known.first, known.last, known.fence) == (first, last, fence)
            && known.until > now
    };
    // A shorter grant does not end a longer one, neither under the same token nor under another.
    let extend = |holds: &mut Vec<Hold>| match holds.iter_mut().find(|known| same(known)) {
        Some(known) => known.until = known.until.max(until),
        None => holds.push(hold.clone()),
    };
    let mut holds = lock(&shared.holds);
    holds.retain(|known| known.until > now);
    extend(&mut holds);
    drop(holds);
    extend(&mut lock(&shared.journal.holds));
    http::response(200, &[], b"")
}

/// Carries out a release.
pub(super) fn release(shared: &Shared, request: &Request) -> Vec<u8> {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let (first, last, fence) = range(&body);
    lock(&shared.fences).push((first, last, fence));
    let time = *lock(&shared.release_time);
    thread::sleep(time);
    let now = Instant::now();
    let end_holds = |holds: &mut Vec<Hold>| {
        let mut rest = Vec::new();
        for hold in holds.iter_mut() {
            let overlaps = hold.first <= last && first <= hold.last && hold.until > now;
            if (&hold.target, hold.born) != (&shared.id, shared.born) || !overlaps {
                continue;
            }
            if hold.first < first {
                rest.push(Hold { last: first - 1, ..hold.clone() });
            }
            if hold.last > last {
                rest.push(Hold { first: last + 1, ..hold.clone() });
            }
            hold.until = now;
        }
        holds.extend(rest);
    };
    end_holds(&mut lock(&shared.holds));
    end_holds(&mut lock(&shared.journal.holds));
    http::response(200, &[("carawayscale-handover", "state")], b"")
}
