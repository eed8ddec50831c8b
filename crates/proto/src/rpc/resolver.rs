//! Address resolution without host names. Peers and executors are addressed by IP address, so that
//! no resolver is needed; the HTTP library's own resolver starts a thread for every exchange.

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
struct NumericResolver;

impl Resolver for NumericResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let address = uri.authority().and_then(|host| host.as_str().parse::<SocketAddr>().ok());
        let mut addresses = self.empty();
        addresses.push(address.ok_or(Error::HostNotFound)?);
        Ok(addresses)
    }
}

/// Creates an HTTP client that reaches peers by IP address and port only.
pub fn numeric_client(config: Config) -> Agent {
    Agent::with_parts(config, DefaultConnector::default(), NumericResolver)
}
