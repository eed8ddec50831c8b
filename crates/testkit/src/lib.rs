//! Small stand-ins and fakes for tests, and for the `dev` role.
