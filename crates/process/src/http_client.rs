//! HTTP client for back ends and the platform, which are addressed by IP address and port.
//!
//! It replaces the resolver of ureq. When a timeout is set, that resolver starts a new thread for
//! every request, even on a reused connection, and waits for it; on a busy machine the thread
//! starts milliseconds later. IP addresses need no name resolution.

use std::net::SocketAddr;

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};
use ureq::{Agent, Error};

use crate::backend_transport::BackendConnector;

/// Creates a client. Requests to a host name, or to an address without a port, fail with
/// [`Error::HostNotFound`].
pub fn agent(config: Config) -> Agent {
    Agent::with_parts(config, DefaultConnector::default(), IpResolver)
}

/// Creates a client for backend servers, which opens a connection for each request and takes no
/// response that broke off for complete. Addresses are as for [`agent`].
pub fn backend_agent(config: Config) -> Agent {
    Agent::with_parts(config, BackendConnector, IpResolver)
}

/// Takes the socket address from the URL without name resolution.
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
