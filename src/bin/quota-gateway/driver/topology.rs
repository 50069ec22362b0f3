//! The names of zones and kinds of servers, as the settings list them. The library knows them by index.

/// The names of zones and kinds, in the order of the settings.
pub struct TopologyNames {
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of servers.
    pub kinds: Vec<String>,
}

impl TopologyNames {
    /// The index of a zone; one past the last for a name that the settings don't have.
    pub fn zone_index(&self, name: &str) -> u32 {
        index_of(&self.zones, name)
    }

    /// The index of a kind; one past the last for a name that the settings don't have.
    pub fn kind_index(&self, name: &str) -> u32 {
        index_of(&self.kinds, name)
    }
}

fn index_of(names: &[String], name: &str) -> u32 {
    names
        .iter()
        .position(|known| known == name)
        .unwrap_or(names.len()) as u32
}
