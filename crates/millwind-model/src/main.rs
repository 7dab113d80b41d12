//! Command line of the model checker.

use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use millwind_model::configuration::Configuration;
use millwind_model::leadership::Leadership;
use millwind_model::links::Links;
use millwind_model::pausing::Pausing;
use millwind_model::writes::{Bounds, Writes};
use millwind_model::{Model, Outcome, Rule, check};

/// Model checker for the core protocol of millwind.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check the invariants of all models.
    Check {
        /// Disable this rule; the check must then find a counterexample.
        #[arg(long = "break", value_enum)]
        broken: Option<Rule>,
        /// Disable each rule in turn.
        #[arg(long, conflicts_with = "broken")]
        every_rule: bool,
        /// Use the larger bounds.
        #[arg(long)]
        large: bool,
    },
}

fn main() -> ExitCode {
    let Command::Check {
        broken,
        every_rule,
        large,
    } = Arguments::parse().command;
    let clean = if every_rule {
        Rule::value_variants()
            .iter()
            .all(|rule| check_all(Some(*rule), large))
    } else {
        check_all(broken, large)
    };
    if clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Checks all models. Returns whether the result is as expected: a counterexample if a rule is
/// disabled, and none otherwise.
fn check_all(broken: Option<Rule>, large: bool) -> bool {
    let bounds = match (large, broken) {
        (true, _) => Bounds::LARGE,
        // These rules matter only with a second write, or with a token raised by a read.
        (false, Some(Rule::NoRepeatAfterSent)) => Bounds {
            writes: 2,
            ..Bounds::SMALL
        },
        (false, Some(Rule::BranchPoint)) => Bounds {
            writes: 2,
            reads: 1,
            ..Bounds::SMALL
        },
        (false, _) => Bounds::SMALL,
    };
    let writes = report(&Writes { bounds, broken }, broken);
    let configuration = report(&Configuration { broken, losses: 1 }, broken);
    let links = report(
        &Links {
            broken,
            restarts: 1,
            requests: 2,
        },
        broken,
    );
    let units = if large { 3 } else { 2 };
    let [stable_leader, restarting_leader, restarting_node] = Leadership::bounded(broken, units);
    let stable_leader = report(&stable_leader, broken);
    let restarting_leader = report(&restarting_leader, broken);
    let restarting_node = report(&restarting_node, broken);
    let pausing = report(&Pausing { broken }, broken);
    let found = [
        writes,
        configuration,
        links,
        stable_leader,
        restarting_leader,
        restarting_node,
        pausing,
    ]
    .iter()
    .any(|outcome| outcome.counterexample.is_some());
    if let Some(rule) = broken {
        let verdict = if found { "broken_as_expected" } else { "NOT_FOUND" };
        println!("rule={rule:?} result={verdict}");
    }
    found == broken.is_some()
}

/// Checks one model and prints the outcome.
fn report<M: Model>(model: &M, broken: Option<Rule>) -> Outcome {
    let outcome = check(model);
    let names: Vec<&str> = model
        .invariants()
        .iter()
        .map(|invariant| invariant.name())
        .collect();
    let result = if outcome.counterexample.is_some() {
        "violated"
    } else {
        "holds"
    };
    println!(
        "model={} properties={} states={} {} broken={broken:?} result={result}",
        model.name(),
        names.join(","),
        outcome.states,
        model.bounds()
    );
    if let Some(counterexample) = &outcome.counterexample {
        println!("  {}: {}", counterexample.invariant, counterexample.detail);
        for (number, step) in counterexample.trace.iter().enumerate() {
            println!("  {}. {step}", number + 1);
        }
    }
    outcome
}
