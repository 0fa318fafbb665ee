//! Shared secret of the processes of a deployment.
//!
//! It authenticates entries to agents and peers to each other. It does not encrypt traffic; the
//! operators' page states what the network must guarantee.

use std::fmt;

use cuminlead_wire::PEER_SECRET_METADATA;
use subtle::ConstantTimeEq;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::{Request, Status};

/// Shared secret, or none when the settings have none; `Debug` does not print its value.
#[derive(Clone, Default)]
pub struct PeerSecret(Option<MetadataValue<Ascii>>);

impl PeerSecret {
    /// Secret from the settings. Text that is not valid gRPC metadata counts as none.
    pub fn new(text: Option<&str>) -> Self {
        Self(text.and_then(|text| text.parse().ok()))
    }

    /// Adds the secret to the metadata of a request.
    pub fn attach<T>(&self, request: &mut Request<T>) {
        if let Some(secret) = &self.0 {
            request
                .metadata_mut()
                .insert(PEER_SECRET_METADATA, secret.clone());
        }
    }

    /// Fails with `Unauthenticated` if the request lacks the secret; accepts every request when no
    /// secret is set. The comparison takes constant time.
    pub fn check<T>(&self, request: &Request<T>) -> Result<(), Status> {
        let Some(secret) = &self.0 else {
            return Ok(());
        };
        let presented = request.metadata().get(PEER_SECRET_METADATA);
        let presented = presented
            .map(MetadataValue::as_encoded_bytes)
            .unwrap_or_default();
        if bool::from(presented.ct_eq(secret.as_encoded_bytes())) {
            Ok(())
        } else {
            Err(Status::unauthenticated("wrong or missing peer secret"))
        }
    }
}

impl fmt::Debug for PeerSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.0.is_some() {
            "PeerSecret(set)"
        } else {
            "PeerSecret(none)"
        })
    }
}
