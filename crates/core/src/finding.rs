//! Findings: problems of an input with their locations, reported together.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A problem at one location of a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// JSON pointer (RFC 6901) to the value.
    pub place: String,
    /// Description of the problem.
    pub problem: String,
    /// Values that are allowed instead.
    pub allowed: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; allowed: {}", self.place, self.problem, self.allowed)
    }
}

/// All findings of one input, in the order in which they were detected.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Report {
    findings: Vec<Finding>,
}

impl Report {
    /// Makes an empty report.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a finding.
    pub fn add(&mut self, place: &str, problem: &str, allowed: &str) {
        self.findings.push(Finding {
            place: place.to_owned(),
            problem: problem.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    /// Returns true if there are no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the findings.
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(f, "{finding}")?;
        }
        Ok(())
    }
}
