//! The secret that processes of a deployment share.
//!
//! It tells an agent that a caller is an entry of its deployment. It does not hide traffic; the
//! operators' page says what the network must guarantee.

use std::fmt;

use cuminlead_wire::PEER_SECRET_METADATA;
use subtle::ConstantTimeEq;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::{Request, Status};

/// Shared secret, or none; never printed.
#[derive(Clone, Default)]
pub struct PeerSecret(Option<MetadataValue<Ascii>>);

impl PeerSecret {
    /// Secret from the settings; text that cannot be sent as metadata counts as none.
    pub fn new(text: Option<&str>) -> Self {
        Self(text.and_then(|text| text.parse().ok()))
    }

    /// Adds the secret to a message.
    pub fn attach<T>(&self, request: &mut Request<T>) {
        if let Some(secret) = &self.0 {
            request
                .metadata_mut()
                .insert(PEER_SECRET_METADATA, secret.clone());
        }
    }

    /// Refuses a message without the secret; compares in constant time.
    pub fn check<T>(&self, request: &Request<T>) -> Result<(), Status> {
        let Some(secret) = &self.0 else {
            return Ok(());
        };
        let given = request.metadata().get(PEER_SECRET_METADATA);
        let given = given
            .map(MetadataValue::as_encoded_bytes)
            .unwrap_or_default();
        if bool::from(given.ct_eq(secret.as_encoded_bytes())) {
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
