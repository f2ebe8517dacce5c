//! The two example deployments, with the catalogues of `examples/`.

use celerywinch_catalogue::Document;

/// A deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// The name.
    pub name: &'static str,
    /// Names of the data centres, each with its number of entries.
    pub dcs: &'static [(&'static str, usize)],
    /// The catalogue in YAML.
    pub catalogue: &'static str,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Number of endpoints in a rack.
    pub rack_size: usize,
}

/// An online shop for stamps, in three data centres.
pub const CONDOR: Deployment = Deployment {
    name: "condor",
    dcs: &[("bog-1", 3), ("bog-2", 2), ("bog-3", 2)],
    catalogue: include_str!("../../../examples/condor/catalogue.yaml"),
    endpoints: 50,
    rack_size: 8,
};

/// A service that values used game consoles for trade-in, in four data centres.
pub const SIAM: Deployment = Deployment {
    name: "siam",
    dcs: &[("bkk-1", 2), ("bkk-2", 2), ("bkk-3", 2), ("bkk-4", 1)],
    catalogue: include_str!("../../../examples/siam/catalogue.yaml"),
    endpoints: 50,
    rack_size: 6,
};

/// All example deployments.
pub const ALL: &[Deployment] = &[CONDOR, SIAM];

impl Deployment {
    /// Parses the catalogue.
    ///
    /// # Errors
    ///
    /// Returns an error if the shipped file is invalid.
    pub fn document(&self) -> anyhow::Result<Document> {
        celerywinch_settings::parse_catalogue(self.catalogue)
            .map_err(|error| anyhow::anyhow!("{}: {error}", self.name))
    }
}
