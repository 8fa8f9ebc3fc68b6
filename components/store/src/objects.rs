//! The object store, for answers too large for a table row.

use crate::StoreError;
use crate::StoreFuture;

/// The object store service.
pub trait ObjectStore {
    /// Stores an object under a key that is never reused for other content.
    fn put<'a>(&'a self, key: &'a str, bytes: Vec<u8>) -> StoreFuture<'a, ()>;
    /// Reads an object; `None` if there is none.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Vec<u8>>>;
    /// Deletes an object, if there is one.
    fn delete<'a>(&'a self, key: &'a str) -> StoreFuture<'a, ()>;
}

/// One call to the object store, as state machines ask for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ObjectRequest {
    /// Stores an object. The same key always comes with the same bytes, so a call whose reply is
    /// lost may be repeated.
    Put {
        /// Key.
        key: String,
        /// Content.
        bytes: Vec<u8>,
    },
    /// Reads an object.
    Get {
        /// Key.
        key: String,
    },
    /// Deletes an object, if there is one.
    Delete {
        /// Key.
        key: String,
    },
}

/// Answer to an `ObjectRequest`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ObjectReply {
    /// The object is stored.
    Stored,
    /// Content of the object; `None` if there is none.
    Content(Option<Vec<u8>>),
    /// There is no such object any more.
    Deleted,
}

/// Makes one call.
///
/// # Errors
///
/// The store does not answer, or refuses the call.
pub async fn call(
    store: &dyn ObjectStore,
    request: ObjectRequest,
) -> Result<ObjectReply, StoreError> {
    match request {
        ObjectRequest::Put { key, bytes } => {
            store.put(&key, bytes).await.map(|()| ObjectReply::Stored)
        }
        ObjectRequest::Get { key } => store.get(&key).await.map(ObjectReply::Content),
        ObjectRequest::Delete { key } => store.delete(&key).await.map(|()| ObjectReply::Deleted),
    }
}
