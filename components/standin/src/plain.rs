//! Stand-in of a plain service over HTTP.
