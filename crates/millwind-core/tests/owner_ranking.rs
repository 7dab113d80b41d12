//! Tests of the selection of owners and backup owners, with and without restrictions on the
//! allowed regions.

use std::collections::BTreeSet;

use millwind_core::data_residency::{AllowedRegions, Topology};
use millwind_core::ids::{RegionName, ZoneName};
use millwind_core::owner_ranking::{OwnerCandidate, OwnerCounts, Proximity, rank_owners};
use proptest::prelude::*;

const COUNTS: OwnerCounts = OwnerCounts {
    owners: 3,
    backup_owners: 5,
};
const PROXIMITIES: [Proximity; 3] = [Proximity::Zone, Proximity::Region, Proximity::Elsewhere];

fn candidate(weight: u64, proximity: Proximity) -> OwnerCandidate {
    OwnerCandidate {
        weight,
        proximity,
        is_allowed: true,
    }
}

fn any_candidates() -> impl Strategy<Value = Vec<OwnerCandidate>> {
    let any_candidate = (
        any::<u64>(),
        proptest::sample::select(&PROXIMITIES[..]),
        any::<bool>(),
    );
    let any_candidate = any_candidate.prop_map(|(weight, proximity, is_allowed)| OwnerCandidate {
        weight,
        proximity,
        is_allowed,
    });
    proptest::collection::vec(any_candidate, 0..300)
}

#[test]
fn a_zone_of_the_same_region_is_nearer_than_one_elsewhere() {
    let zone = |name: &str| ZoneName(name.to_owned());
    let north = |name: &str| (zone(name), RegionName::from("north"));
    let topology = Topology::new([north("north-1"), north("north-2")]);
    let proximity = |instance: &str, node: &str| Proximity::between(&topology, &zone(instance), &zone(node));
    assert_eq!(proximity("north-1", "north-1"), Proximity::Zone);
    assert_eq!(proximity("north-1", "north-2"), Proximity::Region);
    assert_eq!(proximity("north-1", "unknown"), Proximity::Elsewhere);
    assert_eq!(proximity("unknown", "unknown"), Proximity::Zone);
    assert_eq!(proximity("unknown", "other"), Proximity::Elsewhere);
}

#[test]
fn owners_are_the_heaviest_of_the_zone_and_backups_come_from_elsewhere_first() {
    let candidates = [
        candidate(1, Proximity::Zone),
        candidate(4, Proximity::Zone),
        candidate(2, Proximity::Zone),
        candidate(3, Proximity::Zone),
        candidate(5, Proximity::Elsewhere),
        candidate(1, Proximity::Region),
    ];
    let ranked = rank_owners(&candidates, COUNTS);
    assert_eq!(ranked.owners, [1, 3, 2]);
    assert_eq!(ranked.backup_owners, [5, 4, 0]);
}

#[test]
fn owners_come_from_the_region_if_the_zone_has_too_few_nodes() {
    let candidates = [
        candidate(9, Proximity::Elsewhere),
        candidate(1, Proximity::Region),
        candidate(2, Proximity::Region),
        candidate(0, Proximity::Zone),
    ];
    assert_eq!(rank_owners(&candidates, COUNTS).owners, [3, 2, 1]);
}

/// The zone has no nodes, and only two nodes elsewhere are allowed. They must be selected
/// although many nodes with higher weights precede them.
#[test]
fn a_restricted_statement_gets_the_few_allowed_nodes() {
    let mut candidates: Vec<_> = (100..400)
        .map(|weight| OwnerCandidate {
            is_allowed: false,
            ..candidate(weight, Proximity::Elsewhere)
        })
        .collect();
    candidates.push(candidate(1, Proximity::Elsewhere));
    candidates.push(candidate(2, Proximity::Elsewhere));
    let ranked = rank_owners(&candidates, COUNTS);
    assert_eq!((ranked.owners, ranked.backup_owners), (vec![], vec![301, 300]));
}

proptest! {
    /// Only allowed nodes are selected, no node is selected twice, and at least as many
    /// nodes are selected as are allowed, up to the number of backup owners.
    #[test]
    fn only_allowed_nodes_are_selected(candidates in any_candidates()) {
        let ranked = rank_owners(&candidates, COUNTS);
        let selected: Vec<_> = ranked.owners.iter().chain(&ranked.backup_owners).copied().collect();
        prop_assert!(selected.iter().all(|index| candidates[*index].is_allowed));
        let unique: BTreeSet<_> = selected.iter().collect();
        prop_assert_eq!(unique.len(), selected.len());
        let allowed = candidates.iter().filter(|candidate| candidate.is_allowed).count();
        prop_assert!(selected.len() >= allowed.min(COUNTS.backup_owners));
    }

    /// The owners for a restricted statement are the allowed ones among the owners for an
    /// unrestricted statement, in the same order.
    #[test]
    fn owners_are_the_same_for_all_statements(candidates in any_candidates()) {
        let unrestricted: Vec<_> = candidates
            .iter()
            .map(|candidate| OwnerCandidate { is_allowed: true, ..*candidate })
            .collect();
        let all = rank_owners(&unrestricted, COUNTS).owners;
        let allowed: Vec<_> = all.into_iter().filter(|index| candidates[*index].is_allowed).collect();
        prop_assert_eq!(rank_owners(&candidates, COUNTS).owners, allowed);
    }

    /// Nodes that are not selected can join or leave without changing the selection.
    #[test]
    fn unselected_nodes_do_not_affect_the_selection(candidates in any_candidates()) {
        let ranked = rank_owners(&candidates, COUNTS);
        let unrestricted: Vec<_> = candidates
            .iter()
            .map(|candidate| OwnerCandidate { is_allowed: true, ..*candidate })
            .collect();
        let owners = rank_owners(&unrestricted, COUNTS).owners;
        let kept: BTreeSet<_> = ranked.owners.iter().chain(&ranked.backup_owners).chain(&owners).collect();
        let fewer: Vec<_> = (0..candidates.len()).filter(|index| kept.contains(index)).collect();
        let remaining: Vec<_> = fewer.iter().map(|index| candidates[*index]).collect();
        let reranked = rank_owners(&remaining, COUNTS);
        let original_indices = |indices: Vec<usize>| indices.into_iter().map(|index| fewer[index]).collect::<Vec<_>>();
        prop_assert_eq!(original_indices(reranked.owners), ranked.owners);
        prop_assert_eq!(original_indices(reranked.backup_owners), ranked.backup_owners);
    }
}

#[test]
fn a_statement_is_forwarded_only_through_allowed_regions() {
    let topology = Topology::new([(ZoneName::from("north-1"), RegionName::from("north"))]);
    let only = AllowedRegions::from_list([RegionName::from("north")]);
    let may_forward = |zone: &str| OwnerCandidate::may_forward(&only, &topology, &ZoneName::from(zone));
    assert!(may_forward("north-1"));
    assert!(!may_forward("unknown"));
}
