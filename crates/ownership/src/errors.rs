//! Errors of this crate.

use caraway_core::name;

/// Result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a group machine cannot be created.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The group has no targets.
    #[error("group {0} has no targets")]
    NoTargets(name::Group),
    /// Two targets of the group have the same name.
    #[error("group {group} lists target {target} twice")]
    DuplicateTarget {
        /// The group.
        group: name::Group,
        /// The duplicate name.
        target: name::Target,
    },
}
