//! The HTTP rim: a server with a bound on everything that a peer can make it keep.
//!
//! Connections, bytes of head and body, requests in progress and the time that each may take are
//! all limited, because callers and even our own peers may be slow, broken or hostile. The server
//! turns whole requests into [`HttpRequest`] values and hands them to a [`RequestHandler`], which
//! answers through an [`HttpResponder`] from whatever thread it likes. `docs/decisions/http.md`
//! says why `hyper` stands here and `tiny_http` does not.

mod connection;
mod exchange;
mod rim;
mod rpc_inbox;
mod types;

pub use {
    rim::{HttpServer, ServerError},
    rpc_inbox::{refuse, reply, RpcInbox},
    types::{HttpRequest, HttpResponder, HttpResponse, RequestHandler, ServerLimits},
};
