//! Addresses without names: peers and executors are told apart by IP number, so that no resolver
//! is asked. The library's own starts a thread for every exchange.

use {
    std::net::SocketAddr,
    ureq::{
        config::Config,
        http::Uri,
        unversioned::{
            resolver::{ResolvedSocketAddrs, Resolver},
            transport::{DefaultConnector, NextTimeout},
        },
        Agent, Error,
    },
};

#[derive(Debug)]
struct NumberResolver;

impl Resolver for NumberResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let number = uri.authority().and_then(|host| host.as_str().parse::<SocketAddr>().ok());
        let mut addresses = self.empty();
        addresses.push(number.ok_or(Error::HostNotFound)?);
        Ok(addresses)
    }
}

/// An HTTP client that reaches peers by IP number and port alone.
pub fn number_client(config: Config) -> Agent {
    Agent::with_parts(config, DefaultConnector::default(), NumberResolver)
}
