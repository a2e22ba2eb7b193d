//! Names of instances, failure domains, services, groups, targets, tenants and call classes.
//!
//! A name is an immutable shared string, so that cloning it only increments a reference count.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Makes a name from its text.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    )+};
}

names! {
    /// Name of an entry instance.
    Instance,
    /// Name of a failure domain.
    Domain,
    /// Name of a service.
    Service,
    /// Name of a group, of the form `service/domain/n`.
    Group,
    /// Name of a target.
    Target,
    /// Name of a tenant.
    Tenant,
    /// Name of a call class.
    Class,
}
