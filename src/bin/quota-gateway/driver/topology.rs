//! The names of zones and endpoint kinds, as the settings list them. The library identifies them by index.

/// The names of zones and endpoint kinds, in the order of the settings.
pub struct TopologyNames {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

impl TopologyNames {
    /// The index of a zone; one past the last index for a name that is not in the settings.
    pub fn zone_index(&self, name: &str) -> u32 {
        index_of(&self.zones, name)
    }

    /// The index of an endpoint kind; one past the last index for a name that is not in the settings.
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
