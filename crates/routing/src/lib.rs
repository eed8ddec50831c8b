//! How an entry decides: endpoint choice, admission, retries, hedges and outcomes. Pure.
