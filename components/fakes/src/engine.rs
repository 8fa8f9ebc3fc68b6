//! Engine in virtual time: continuous batching, prefix cache, roles, late reports.
