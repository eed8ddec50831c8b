//! The HTTP server at the edge of a process. It bounds every resource that a peer can occupy.
//!
//! The server limits connections, head and body sizes, requests in progress and the time that each
//! may take, because callers and even the system's own peers may be slow, broken or hostile. It
//! turns complete requests into [`HttpRequest`] values and hands them to a [`RequestHandler`],
//! which answers through an [`HttpResponder`] from any thread. `docs/decisions/http.md` explains
//! why the server uses `hyper` and not `tiny_http`.

mod connection;
mod exchange;
mod handshakes;
mod listener;
mod rpc_inbox;
mod types;

pub use {
    listener::{HttpServer, ServerError},
    rpc_inbox::{refuse, reply, RpcInbox},
    types::{HttpRequest, HttpResponder, HttpResponse, RequestHandler, ServerLimits},
};
