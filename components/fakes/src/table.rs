//! Table in virtual time, with outages, slow and lost replies.
