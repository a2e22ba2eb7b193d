//! Fields of log events.

use std::fmt;

use log::kv;

use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::token::Token;

/// Value of a log field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Value {
    /// Text, rendered as a JSON string.
    Text(String),
    /// Unsigned number, rendered as a JSON number.
    Number(u64),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(text) => text.fmt(f),
            Self::Number(number) => number.fmt(f),
        }
    }
}

impl From<u64> for Value {
    fn from(number: u64) -> Self {
        Self::Number(number)
    }
}

impl From<u32> for Value {
    fn from(number: u32) -> Self {
        Self::Number(u64::from(number))
    }
}

impl From<u16> for Value {
    fn from(number: u16) -> Self {
        Self::Number(u64::from(number))
    }
}

impl From<Shard> for Value {
    fn from(shard: Shard) -> Self {
        shard.0.into()
    }
}

impl From<String> for Value {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

impl From<Token> for Value {
    fn from(token: Token) -> Self {
        Self::Text(token.to_string())
    }
}

macro_rules! value_from_names {
    ($($name:ident),+ $(,)?) => {$(
        impl From<name::$name> for Value {
            fn from(name: name::$name) -> Self {
                Self::Text(name.as_str().to_owned())
            }
        }
    )+};
}

value_from_names!(Class, Domain, Group, Instance, Service, Target);

/// Fields of one event in the order of their declaration, as key-value pairs for `log`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fields(pub Vec<(&'static str, Value)>);

impl kv::Source for Fields {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn kv::VisitSource<'kvs>) -> Result<(), kv::Error> {
        for (name, value) in &self.0 {
            let value = match value {
                Value::Text(text) => kv::Value::from(text.as_str()),
                Value::Number(number) => kv::Value::from(*number),
            };
            visitor.visit_pair(kv::Key::from_str(name), value)?;
        }
        Ok(())
    }
}
