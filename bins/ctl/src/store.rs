//! Calls to the platform's store.

use serde_json::Value;
use serde_json::json;
use ureq::Agent;

use crate::errors::Error;
use crate::errors::Result;
use crate::flag::Stage;
use crate::http;
use crate::http::Failure;

/// A stored value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stored {
    /// Text of the value.
    pub text: String,
    /// Revision of the value.
    pub revision: u64,
}

/// How the store answered a compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Swap {
    /// The value was accepted.
    Accepted(u64),
    /// The key has another revision.
    Conflict,
    /// The value is not acceptable.
    Refused(String),
    /// The write was not sent.
    NotSent(String),
    /// The write may have taken effect.
    Ambiguous(String),
}

/// Client of the store.
#[derive(Debug)]
pub struct Client {
    agent: Agent,
    base: String,
}

impl Client {
    /// Makes a client.
    pub fn new(address: &str) -> Self {
        Self { agent: http::agent(), base: http::base(address) }
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// The store does not answer or not as described in section 3.5 of the design.
    pub fn get(&self, key: &str) -> Result<Option<Stored>> {
        let url = self.url(key);
        let fail = |problem: String| Error::Store { tried: format!("GET {url}"), problem };
        let answer =
            http::get(&self.agent, &url).map_err(|failure| fail(failure.problem().to_owned()))?;
        if answer.status == 404 {
            return Ok(None);
        }
        let text = answer.body.get("value").and_then(Value::as_str);
        let revision = answer.body.get("revision").and_then(Value::as_u64);
        match (answer.status, text, revision) {
            (200, Some(text), Some(revision)) => {
                Ok(Some(Stored { text: text.to_owned(), revision }))
            }
            (status, _, _) => Err(fail(format!("unexpected answer with status {status}"))),
        }
    }

    /// Writes a key if it has the expected revision, 0 if it must be absent.
    pub fn swap(&self, key: &str, text: &str, expect: u64) -> Swap {
        let body = json!({ "value": text, "expect": expect });
        match http::put(&self.agent, &self.url(key), &body) {
            Err(Failure::NotSent(problem)) => Swap::NotSent(problem),
            Err(Failure::NoAnswer(problem)) => Swap::Ambiguous(problem),
            Ok(answer) => {
                match (answer.status, answer.body.get("revision").and_then(Value::as_u64)) {
                    (200, Some(revision)) => Swap::Accepted(revision),
                    (409, _) => Swap::Conflict,
                    (413, _) => Swap::Refused("it is larger than 1 MB".into()),
                    (status @ 400..500, _) => Swap::Refused(format!("status {status}")),
                    (status, _) => {
                        Swap::Ambiguous(format!("unexpected answer with status {status}"))
                    }
                }
            }
        }
    }

    fn url(&self, key: &str) -> String {
        format!("{}/v1/kv/{key}", self.base)
    }
}

/// Returns the key of an environment's stage.
pub fn key(environment: &str, stage: Stage) -> String {
    format!("environments/{}/{stage}", http::segment(environment))
}
