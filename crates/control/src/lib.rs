//! The control role: one reducer over the replicated log and its driver.
