//! Restrictions of requests to the availability zones of some regions.

use std::collections::{BTreeMap, BTreeSet};

use base::Name;

/// The zones that a request may use, from the lists of allowed regions of its route and its workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Restriction {
    /// The allowed regions and their zones; none if any zone may be used.
    allowed: Option<(BTreeSet<Name>, BTreeSet<Name>)>,
}

impl Restriction {
    /// The restriction by these lists, each of which applies unless it is empty; `regions` has the region of each
    /// zone. A zone whose region is unknown is not allowed. Lists that allow all known regions do not restrict.
    pub fn new(lists: &[&[Name]], regions: &BTreeMap<Name, Name>) -> Self {
        let lists: Vec<&[Name]> = lists.iter().copied().filter(|list| !list.is_empty()).collect();
        if lists.is_empty() {
            return Self::default();
        }
        let is_allowed = |region: &Name| lists.iter().all(|list| list.contains(region));
        let known: BTreeSet<&Name> = regions.values().collect();
        // Without any known region it can't be told whether a zone is allowed.
        if !known.is_empty() && known.iter().all(|region| is_allowed(region)) {
            return Self::default();
        }
        let zones = regions.iter().filter(|(_, region)| is_allowed(region));
        let zones = zones.map(|(zone, _)| zone.clone()).collect();
        let allowed = known.into_iter().filter(|region| is_allowed(region)).cloned().collect();
        Self { allowed: Some((allowed, zones)) }
    }

    /// Whether a zone may be used.
    pub fn allows(&self, zone: &Name) -> bool {
        self.allowed.as_ref().is_none_or(|(_, zones)| zones.contains(zone))
    }

    /// The same text for restrictions to the same regions only, as a part of salts; none without a restriction.
    pub fn id(&self) -> Option<String> {
        // Names of regions may contain what salts, or headers, can't.
        const DIGITS: usize = 16;
        let (regions, _) = self.allowed.as_ref()?;
        let mut hasher = blake3::Hasher::new();
        for region in regions {
            hasher.update(&(region.len() as u64).to_le_bytes());
            hasher.update(region.as_bytes());
        }
        Some(hasher.finalize().to_hex()[..DIGITS].to_owned())
    }
}
