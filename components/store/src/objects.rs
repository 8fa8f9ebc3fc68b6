//! Object store interface, for answers that are too large for a table row.

use crate::StoreError;
use crate::StoreFuture;

/// Object store service.
pub trait ObjectStore {
    /// Stores an object. A key must not be reused for different content.
    fn put<'a>(&'a self, key: &'a str, bytes: Vec<u8>) -> StoreFuture<'a, ()>;
    /// Reads an object; `None` if it does not exist.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Vec<u8>>>;
    /// Deletes an object; succeeds if it does not exist.
    fn delete<'a>(&'a self, key: &'a str) -> StoreFuture<'a, ()>;
}

/// Call to the object store, as requested by a state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ObjectRequest {
    /// Stores an object. A key is always written with the same content, so a call whose reply was
    /// lost can be retried.
    Put {
        /// Key of the object.
        key: String,
        /// Content of the object.
        bytes: Vec<u8>,
    },
    /// Reads an object.
    Get {
        /// Key of the object.
        key: String,
    },
    /// Deletes an object; succeeds if it does not exist.
    Delete {
        /// Key of the object.
        key: String,
    },
}

/// Result of an [`ObjectRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ObjectReply {
    /// The object was stored.
    Stored,
    /// Content of the object; `None` if it does not exist.
    Content(Option<Vec<u8>>),
    /// The object was deleted or did not exist.
    Deleted,
}

/// Executes a call.
///
/// # Errors
///
/// Returns an error if the store does not answer or refuses the call.
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
