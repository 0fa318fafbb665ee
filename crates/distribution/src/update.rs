//! What a process tells another one.

use cuminlead_lists::{HostStore, ListStore, PatchLog};
use cuminlead_types::DurationUs;

use crate::event::{PartEncoding, Revisions, Update};

/// Times since the lists and the host list of a process were confirmed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ages {
    pub(crate) lists: DurationUs,
    pub(crate) hosts: DurationUs,
}

/// What a process holds and may tell.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Holdings<'a> {
    pub(crate) lists: &'a ListStore,
    pub(crate) patches: &'a PatchLog,
    pub(crate) hosts: &'a HostStore,
    pub(crate) ages: Ages,
}

impl Holdings<'_> {
    /// What a process at some revisions lacks.
    pub(crate) fn update_since(self, since: Revisions, form: PartEncoding) -> Update {
        let snapshot = self.lists.snapshot();
        let lists = snapshot.map(|snapshot| snapshot.delta_since(since.lists));
        let mut lists = lists.unwrap_or_default();
        let patches = match form {
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
