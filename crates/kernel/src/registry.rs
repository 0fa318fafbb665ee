//! The list of all plug-ins linked into a binary.
//!
//! A plug-in is a type behind a trait object at a module border: a routing policy or a kind of
//! backend server. Its module submits a typed registration for its own point with `inventory` and a
//! [`PluginInfo`] here, so that `--plugins` can print what a binary holds. Considered and not
//! taken: a match over names in one place, which every new plug-in would have to edit.

use strum::{Display, EnumIter, IntoStaticStr};

/// Border at which plug-ins may be added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PluginPoint {
    /// Chooses servers for a call.
    RoutingPolicy,
    /// Drives one kind of backend server.
    Backend,
}

/// Registration of one plug-in for listings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PluginInfo {
    /// Where it plugs in.
    pub point: PluginPoint,
    /// Name used in settings and lists.
    pub name: &'static str,
    /// What it does, in one line.
    pub summary: &'static str,
}

inventory::collect!(PluginInfo);

/// Plug-ins at one point, by name.
pub fn plugins_at(point: PluginPoint) -> Vec<&'static PluginInfo> {
    let mut found: Vec<_> = inventory::iter::<PluginInfo>
        .into_iter()
        .filter(|info| info.point == point)
        .collect();
    found.sort_by_key(|info| info.name);
    found
}
