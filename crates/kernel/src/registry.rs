//! List of all plug-ins linked into a binary.
//!
//! A plug-in is a type behind a trait object at a module interface: a routing policy or a kind of
//! backend server. With `inventory`, its module submits a typed registration for its own
//! [`PluginPoint`] and a [`PluginInfo`], from which the command `plugins` lists the plug-ins of a
//! binary. A central match over names was rejected as an alternative, since every new plug-in would
//! have to edit it.

use strum::{Display, EnumIter, IntoStaticStr};

/// Interface at which plug-ins may be added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PluginPoint {
    /// Policy that selects servers for a call.
    RoutingPolicy,
    /// Driver of one kind of backend server.
    Backend,
}

/// Description of a plug-in for listings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PluginInfo {
    /// Interface that the plug-in implements.
    pub point: PluginPoint,
    /// Name of the plug-in in settings and lists.
    pub name: &'static str,
    /// One line that describes the plug-in to operators.
    pub summary: &'static str,
}

inventory::collect!(PluginInfo);

/// Plug-ins at one point, sorted by name.
pub fn plugins_at(point: PluginPoint) -> Vec<&'static PluginInfo> {
    let mut plugins: Vec<_> = inventory::iter::<PluginInfo>
        .into_iter()
        .filter(|info| info.point == point)
        .collect();
    plugins.sort_by_key(|info| info.name);
    plugins
}
