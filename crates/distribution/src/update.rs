//! Construction of the messages from one process to another.

use cuminlead_lists::{HostStore, ListStore, PatchLog};
use cuminlead_types::DurationUs;

use crate::event::{PartEncoding, Revisions, Update};

/// Times since the lists and the host list of this process were confirmed as the newest.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfirmationAges {
    pub(crate) lists: DurationUs,
    pub(crate) hosts: DurationUs,
}

/// Lists, host list and confirmation ages of this process, from which updates are built.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalState<'a> {
    pub(crate) lists: &'a ListStore,
    pub(crate) patches: &'a PatchLog,
    pub(crate) hosts: &'a HostStore,
    pub(crate) ages: ConfirmationAges,
}

impl LocalState<'_> {
    /// Builds the update for a process at the revisions `since`.
    pub(crate) fn update_since(self, since: Revisions, encoding: PartEncoding) -> Update {
        let snapshot = self.lists.snapshot();
        let lists = snapshot.map(|snapshot| snapshot.delta_since(since.lists));
        let mut lists = lists.unwrap_or_default();
        let patches = match encoding {
            PartEncoding::Patch => self.patches.replace_parts(&mut lists),
            PartEncoding::Full => Vec::new(),
        };
        Update {
            lists,
            patches,
            hosts: self.hosts.delta_since(since.hosts),
            confirmed_age: self.ages.lists,
            hosts_confirmed_age: self.ages.hosts,
        }
    }
}
