//! Which nodes own connections to an instance and stand in for owners, with and without
//! regions that a customer allows.

use std::collections::BTreeSet;

use millwind_core::data_residency::{AllowedRegions, Topology};
use millwind_core::ids::{RegionName, ZoneName};
use millwind_core::owner_ranking::{Nearness, OwnerCandidate, OwnersSought, rank_owners};
use proptest::prelude::*;

const SOUGHT: OwnersSought = OwnersSought {
    owners: 3,
    stand_ins: 5,
};
const NEARNESS: [Nearness; 3] = [Nearness::Zone, Nearness::Region, Nearness::Elsewhere];

fn candidate(weight: u64, nearness: Nearness) -> OwnerCandidate {
    OwnerCandidate {
        weight,
        nearness,
        is_allowed: true,
    }
}

fn any_candidates() -> impl Strategy<Value = Vec<OwnerCandidate>> {
    let one = (
        any::<u64>(),
        proptest::sample::select(&NEARNESS[..]),
        any::<bool>(),
    );
    let one = one.prop_map(|(weight, nearness, is_allowed)| OwnerCandidate {
        weight,
        nearness,
        is_allowed,
    });
    proptest::collection::vec(one, 0..300)
}

#[test]
fn a_zone_of_the_same_region_is_nearer_than_one_elsewhere() {
    let zone = |name: &str| ZoneName(name.to_owned());
    let north = |name: &str| (zone(name), RegionName::from("north"));
    let topology = Topology::new([north("north-1"), north("north-2")]);
    let nearness = |instance: &str, node: &str| Nearness::between(&topology, &zone(instance), &zone(node));
    assert_eq!(nearness("north-1", "north-1"), Nearness::Zone);
    assert_eq!(nearness("north-1", "north-2"), Nearness::Region);
    assert_eq!(nearness("north-1", "unknown"), Nearness::Elsewhere);
    assert_eq!(nearness("unknown", "unknown"), Nearness::Zone);
    assert_eq!(nearness("unknown", "other"), Nearness::Elsewhere);
}

#[test]
fn the_heaviest_of_the_zone_own_and_others_stand_in() {
    let candidates = [
        candidate(1, Nearness::Zone),
        candidate(4, Nearness::Zone),
        candidate(2, Nearness::Zone),
        candidate(3, Nearness::Zone),
        candidate(5, Nearness::Elsewhere),
        candidate(1, Nearness::Region),
    ];
    let ranked = rank_owners(&candidates, SOUGHT);
    assert_eq!(ranked.owners, [1, 3, 2]);
    assert_eq!(ranked.stand_ins, [5, 4, 0]);
}

#[test]
fn owners_come_from_the_region_where_the_zone_has_too_few() {
    let candidates = [
        candidate(9, Nearness::Elsewhere),
        candidate(1, Nearness::Region),
        candidate(2, Nearness::Region),
        candidate(0, Nearness::Zone),
    ];
    assert_eq!(rank_owners(&candidates, SOUGHT).owners, [3, 2, 1]);
}

/// The zone has no nodes and few of the others are allowed: without a ranking of its own
/// a restricted statement found none of them among the eight that stand for all.
#[test]
fn a_restricted_statement_finds_the_few_nodes_that_it_may_pass() {
    let mut candidates: Vec<_> = (100..400)
        .map(|weight| OwnerCandidate {
            is_allowed: false,
            ..candidate(weight, Nearness::Elsewhere)
        })
        .collect();
    candidates.push(candidate(1, Nearness::Elsewhere));
    candidates.push(candidate(2, Nearness::Elsewhere));
    let ranked = rank_owners(&candidates, SOUGHT);
    assert_eq!((ranked.owners, ranked.stand_ins), (vec![], vec![301, 300]));
}

proptest! {
    /// No node is passed that is not allowed; as many are found as there are, up to
    /// those sought; nobody is named twice.
    #[test]
    fn only_allowed_nodes_are_passed(candidates in any_candidates()) {
        let ranked = rank_owners(&candidates, SOUGHT);
        let named: Vec<_> = ranked.owners.iter().chain(&ranked.stand_ins).copied().collect();
        prop_assert!(named.iter().all(|index| candidates[*index].is_allowed));
        let unique: BTreeSet<_> = named.iter().collect();
        prop_assert_eq!(unique.len(), named.len());
        let allowed = candidates.iter().filter(|candidate| candidate.is_allowed).count();
        prop_assert!(named.len() >= allowed.min(SOUGHT.stand_ins));
    }

    /// The owners of a restricted statement are owners for all, in the same order.
    #[test]
    fn owners_are_the_same_for_everybody(candidates in any_candidates()) {
        let free: Vec<_> = candidates
            .iter()
            .map(|candidate| OwnerCandidate { is_allowed: true, ..*candidate })
            .collect();
        let all = rank_owners(&free, SOUGHT).owners;
        let allowed: Vec<_> = all.into_iter().filter(|index| candidates[*index].is_allowed).collect();
        prop_assert_eq!(rank_owners(&candidates, SOUGHT).owners, allowed);
    }

    /// A node that joins or leaves outside of those chosen changes nobody's choice.
    #[test]
    fn nodes_that_are_not_chosen_matter_to_nobody(candidates in any_candidates()) {
        let ranked = rank_owners(&candidates, SOUGHT);
        let free: Vec<_> = candidates
            .iter()
            .map(|candidate| OwnerCandidate { is_allowed: true, ..*candidate })
            .collect();
        let owners = rank_owners(&free, SOUGHT).owners;
        let kept: BTreeSet<_> = ranked.owners.iter().chain(&ranked.stand_ins).chain(&owners).collect();
        let fewer: Vec<_> = (0..candidates.len()).filter(|index| kept.contains(index)).collect();
        let remaining: Vec<_> = fewer.iter().map(|index| candidates[*index]).collect();
        let again = rank_owners(&remaining, SOUGHT);
        let back = |indices: Vec<usize>| indices.into_iter().map(|index| fewer[index]).collect::<Vec<_>>();
        prop_assert_eq!(back(again.owners), ranked.owners);
        prop_assert_eq!(back(again.stand_ins), ranked.stand_ins);
    }
}

#[test]
fn a_carrier_stands_in_an_allowed_region() {
    let topology = Topology::new([(ZoneName::from("north-1"), RegionName::from("north"))]);
    let only = AllowedRegions::from_list([RegionName::from("north")]);
    let is_carrier = |zone: &str| OwnerCandidate::is_carrier(&only, &topology, &ZoneName::from(zone));
    assert!(is_carrier("north-1"));
    assert!(!is_carrier("unknown"));
}
