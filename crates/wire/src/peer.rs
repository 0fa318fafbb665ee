//! Conversions of updates that processes send each other: deltas of lists and host list, and how
//! long ago both were confirmed as newest.

use cuminlead_distribution::{NEVER_CONFIRMED, PartEncoding, Revisions, Update};
use cuminlead_lists::{Delta, HostDelta, HostEntry, Part, PartKey, PartPatch, TextPatch};
use cuminlead_types::{DurationUs, Revision};

use crate::error::{WireError, required};
use crate::proto;

impl From<&Update> for proto::PeerUpdate {
    fn from(update: &Update) -> Self {
        Self {
            lists: Some(list_delta_to_wire(&update.lists, &update.patches)),
            hosts: Some(host_delta_to_wire(&update.hosts)),
            confirmed_age_us: update.confirmed_age.0,
            hosts_confirmed_age_us: Some(update.hosts_confirmed_age.0),
        }
    }
}

impl TryFrom<proto::PeerUpdate> for Update {
    type Error = WireError;

    fn try_from(update: proto::PeerUpdate) -> Result<Self, WireError> {
        let mut lists = required("lists", update.lists)?;
        let patches = std::mem::take(&mut lists.patches);
        let patches: Result<_, WireError> = patches.into_iter().map(patch_from_wire).collect();
        Ok(Self {
            lists: list_delta_from_wire(lists),
            patches: patches?,
            hosts: host_delta_from_wire(required("hosts", update.hosts)?)?,
            confirmed_age: DurationUs(update.confirmed_age_us),
            hosts_confirmed_age: update
                .hosts_confirmed_age_us
                .map_or(NEVER_CONFIRMED, DurationUs),
        })
    }
}

impl From<&proto::PullRequest> for Revisions {
    fn from(request: &proto::PullRequest) -> Self {
        Self {
            lists: Revision(request.lists_revision),
            hosts: Revision(request.hosts_revision),
        }
    }
}

impl From<&proto::PullRequest> for PartEncoding {
    fn from(request: &proto::PullRequest) -> Self {
        if request.takes_patches {
            Self::Patch
        } else {
            Self::Full
        }
    }
}

/// Request for the changes since `revisions`. `host` is the sending host; `encoding` says whether
/// the sender accepts patches.
pub fn pull_request(
    host: &str,
    revisions: Revisions,
    encoding: PartEncoding,
) -> proto::PullRequest {
    proto::PullRequest {
        host: host.to_string(),
        lists_revision: revisions.lists.0,
        hosts_revision: revisions.hosts.0,
        takes_patches: encoding == PartEncoding::Patch,
    }
}

fn patch_to_wire(patch: &PartPatch) -> proto::PartPatch {
    proto::PartPatch {
        key: patch.key.to_string(),
        revision: patch.revision.0,
        start_bytes: patch.change.start_bytes as u64,
        end_bytes: patch.change.end_bytes as u64,
        text: patch.change.text.clone(),
        old_hash: patch.change.old_hash,
        new_hash: patch.change.new_hash,
    }
}

fn patch_from_wire(patch: proto::PartPatch) -> Result<PartPatch, WireError> {
    let length = |name, bytes| usize::try_from(bytes).map_err(|_| WireError::Invalid(name));
    Ok(PartPatch {
        key: PartKey::new(patch.key),
        revision: Revision(patch.revision),
        change: TextPatch {
            start_bytes: length("start_bytes", patch.start_bytes)?,
            end_bytes: length("end_bytes", patch.end_bytes)?,
            text: patch.text,
            old_hash: patch.old_hash,
            new_hash: patch.new_hash,
        },
    })
}

fn list_delta_to_wire(delta: &Delta, patches: &[PartPatch]) -> proto::ListDelta {
    let parts = delta.parts.iter().map(|part| proto::Part {
        key: part.key.to_string(),
        revision: part.revision.0,
        text: part.text.clone(),
    });
    proto::ListDelta {
        from_revision: delta.from_revision.0,
        revision: delta.revision.0,
        is_full: delta.is_full,
        parts: parts.collect(),
        removed: delta.removed.iter().map(ToString::to_string).collect(),
        patches: patches.iter().map(patch_to_wire).collect(),
    }
}

fn list_delta_from_wire(delta: proto::ListDelta) -> Delta {
    let parts = delta.parts.into_iter().map(|part| Part {
        key: PartKey::new(part.key),
        revision: Revision(part.revision),
        text: part.text,
    });
    Delta {
        from_revision: Revision(delta.from_revision),
        revision: Revision(delta.revision),
        is_full: delta.is_full,
        parts: parts.collect(),
        removed: delta.removed.into_iter().map(PartKey::new).collect(),
    }
}

fn host_delta_to_wire(delta: &HostDelta) -> proto::HostDelta {
    proto::HostDelta {
        from_revision: delta.from_revision.0,
        revision: delta.revision.0,
        is_full: delta.is_full,
        hosts: delta.hosts.iter().map(host_to_wire).collect(),
        removed: delta.removed.iter().map(ToString::to_string).collect(),
    }
}

fn host_delta_from_wire(delta: proto::HostDelta) -> Result<HostDelta, WireError> {
    let hosts: Result<_, WireError> = delta.hosts.into_iter().map(host_from_wire).collect();
    let removed: Result<_, _> = delta.removed.iter().map(|host| host.parse()).collect();
    Ok(HostDelta {
        from_revision: Revision(delta.from_revision),
        revision: Revision(delta.revision),
        is_full: delta.is_full,
        hosts: hosts?,
        removed: removed?,
    })
}

fn host_to_wire(entry: &HostEntry) -> proto::HostEntry {
    proto::HostEntry {
        host: entry.host.to_string(),
        region: entry.region.to_string(),
        availability_zone: entry.zone.to_string(),
        state: entry.state.to_string(),
        process: entry.process.to_string(),
        address: entry.address.clone(),
        server: entry.server.as_ref().map(ToString::to_string),
    }
}

fn host_from_wire(entry: proto::HostEntry) -> Result<HostEntry, WireError> {
    Ok(HostEntry {
        host: entry.host.parse()?,
        region: entry.region.parse()?,
        zone: entry.availability_zone.parse()?,
        state: entry
            .state
            .parse()
            .map_err(|_| WireError::Invalid("state"))?,
        process: entry
            .process
            .parse()
            .map_err(|_| WireError::Invalid("process"))?,
        address: entry.address,
        server: entry.server.map(|server| server.parse()).transpose()?,
    })
}
