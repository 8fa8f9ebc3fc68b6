//! Stand-in of a model engine over HTTP.
