//! Stand-in of the platform: table, object store, weight store and host list over HTTP.
