//! Cost of a document at an entry instance: parsing the stored text and deriving the plan.

use std::time::Instant;

use serde::Serialize;

use caraway_document::envelope::Envelope;
use caraway_document::plan::Plan;

use crate::errors::Error;
use crate::errors::Result;
use crate::size::Size;

/// Numbers of targets in the documents. A service has at most 4,096 targets.
const TARGETS: [usize; 4] = [150, 1500, 6000, 15_000];
/// Number of services, among which the targets are divided evenly.
const SERVICES: usize = 10;
/// Number of measurements of each document. The shortest one counts, because the others include interruptions.
const REPEATS: usize = 7;

/// Cost of one document.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Cost {
    /// Number of targets in the document.
    pub targets: f64,
    /// Length of the stored text in bytes.
    pub bytes: f64,
    /// Time to parse and validate the text and to derive the plan, in milliseconds.
    pub read_ms: f64,
}

/// Measures documents with 29 failure domains and several numbers of targets.
pub fn measure() -> Result<Vec<Cost>> {
    TARGETS.iter().map(|targets| cost(*targets)).collect()
}

fn cost(targets: usize) -> Result<Cost> {
    let domains = 29;
    let size = Size {
        domains,
        services: SERVICES,
        targets: targets.div_ceil(domains * SERVICES),
        shards: 4096,
        ..Size::default()
    };
    let document = size.document()?;
    let text = Envelope { write_id: "capacity".to_owned(), document }.to_text();
    let mut shortest_s = f64::MAX;
    let mut parsed_targets = 0;
    for _ in 0..REPEATS {
        let started = Instant::now();
        let plan =
            Plan::parse_stored(&text, 1).map_err(|error| Error::Document(error.to_string()))?;
        shortest_s = shortest_s.min(started.elapsed().as_secs_f64());
        parsed_targets = plan.groups.iter().map(|group| group.targets.len()).sum();
    }
    let to_f64 = |count: usize| u32::try_from(count).map_or(f64::MAX, f64::from);
    Ok(Cost {
        targets: to_f64(parsed_targets),
        bytes: to_f64(text.len()),
        read_ms: shortest_s * 1000.0,
    })
}
