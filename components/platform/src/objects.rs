//! The object store, for answers too large for a table row.

use crate::PlatformFuture;

/// The object store service.
pub trait ObjectStore {
    /// Stores an object under a key that is never reused for other content.
    fn put<'a>(&'a self, key: &'a str, bytes: Vec<u8>) -> PlatformFuture<'a, ()>;
    /// Reads an object; `None` if there is none.
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Vec<u8>>>;
    /// Deletes an object, if there is one.
    fn delete<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, ()>;
}
