//! HTTP client of back ends and the platform, which are named by IP address and port.
//!
//! With a timeout, the resolver of ureq hands every request, also one on a kept connection, to a new
//! thread and waits for it. On a busy machine that thread starts milliseconds later, and an address
//! that is an IP number has nothing to look up.

use std::net::SocketAddr;

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};
use ureq::{Agent, Error};

/// Client with a configuration; a request to a host name fails with [`Error::HostNotFound`].
pub fn agent(config: Config) -> Agent {
    Agent::with_parts(config, DefaultConnector::default(), IpResolver)
}

/// Reads the address from the URL.
#[derive(Clone, Copy, Debug)]
struct IpResolver;

impl Resolver for IpResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let authority = uri.authority().map(|authority| authority.as_str());
        let address = authority.and_then(|text| text.parse::<SocketAddr>().ok());
        let mut addresses = self.empty();
        addresses.push(address.ok_or(Error::HostNotFound)?);
        Ok(addresses)
    }
}
