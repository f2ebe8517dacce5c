//! The two deployments that are shipped as examples.

use celerywinch_catalogue::Document;

/// One deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Data centres, each with its number of entries.
    pub dcs: &'static [(&'static str, usize)],
    /// Its catalogue, in YAML.
    pub catalogue: &'static str,
    /// How many endpoints it has.
    pub endpoints: usize,
    /// How many endpoints share a rack.
    pub rack_size: usize,
}

/// Sells stamps online: three data centres.
pub const CONDOR: Deployment = Deployment {
    name: "condor",
    dcs: &[("bog-1", 3), ("bog-2", 2), ("bog-3", 2)],
    catalogue: include_str!("../../../examples/condor/catalogue.yaml"),
    endpoints: 50,
    rack_size: 8,
};

/// Values trade-in consoles: four data centres.
pub const SIAM: Deployment = Deployment {
    name: "siam",
    dcs: &[("bkk-1", 2), ("bkk-2", 2), ("bkk-3", 2), ("bkk-4", 1)],
    catalogue: include_str!("../../../examples/siam/catalogue.yaml"),
    endpoints: 50,
    rack_size: 6,
};

/// Both.
pub const ALL: &[Deployment] = &[CONDOR, SIAM];

impl Deployment {
    /// The catalogue's document.
    ///
    /// # Errors
    ///
    /// The shipped file has a fault.
    pub fn document(&self) -> anyhow::Result<Document> {
        celerywinch_settings::parse_catalogue(self.catalogue)
            .map_err(|error| anyhow::anyhow!("{}: {error}", self.name))
    }
}
