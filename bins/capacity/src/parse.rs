//! Cost of a document at an entry instance: reading its stored text and making the plan.

use std::time::Instant;

use serde::Serialize;

use caraway_document::envelope::Envelope;
use caraway_document::plan::Plan;

use crate::errors::Error;
use crate::errors::Result;
use crate::size::Size;

/// Numbers of targets; a service has at most 4,096 of them.
const TARGETS: [usize; 4] = [150, 1500, 6000, 15_000];
/// Services that the targets are divided among.
const SERVICES: usize = 10;
/// Times that each document is read. The shortest time counts, because the others contain interruptions.
const REPEATS: usize = 7;

/// Cost of one document.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Cost {
    /// Targets in the document.
    pub targets: f64,
    /// Length of the stored text in bytes.
    pub bytes: f64,
    /// Time to read and check the text and to derive the plan, in milliseconds.
    pub read_ms: f64,
}

/// Measures documents of 29 failure domains with several numbers of targets.
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
    let mut shortest = f64::MAX;
    let mut counted = 0;
    for _ in 0..REPEATS {
        let began = Instant::now();
        let plan =
            Plan::parse_stored(&text, 1).map_err(|error| Error::Document(error.to_string()))?;
        shortest = shortest.min(began.elapsed().as_secs_f64());
        counted = plan.groups.iter().map(|group| group.targets.len()).sum();
    }
    let number = |count: usize| u32::try_from(count).map_or(f64::MAX, f64::from);
    Ok(Cost { targets: number(counted), bytes: number(text.len()), read_ms: shortest * 1000.0 })
}
