//! Checks the specification.

use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use millwind_model::configuration::Configuration;
use millwind_model::leadership::Leadership;
use millwind_model::links::Links;
use millwind_model::pausing::Pausing;
use millwind_model::writes::{Bounds, Writes};
use millwind_model::{Model, Outcome, Rule, check};

/// Model checker of millwind's core protocol.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Explore the models.
    Check {
        /// Switch this rule off; a counterexample is then expected.
        #[arg(long = "break", value_enum)]
        broken: Option<Rule>,
        /// Switch each rule off in turn.
        #[arg(long, conflicts_with = "broken")]
        every_rule: bool,
        /// Explore the larger bounds.
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

/// Checks all models; true when the result is the expected one.
fn check_all(broken: Option<Rule>, large: bool) -> bool {
    let bounds = match (large, broken) {
        (true, _) => Bounds::LARGE,
        // These rules guard a second write, or a token raised by a read.
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
    let [staying, beginning_anew] = Leadership::bounded(broken, units);
    let staying = report(&staying, broken);
    let beginning_anew = report(&beginning_anew, broken);
    let pausing = report(&Pausing { broken }, broken);
    let found = [writes, configuration, links, staying, beginning_anew, pausing]
        .iter()
        .any(|outcome| outcome.counterexample.is_some());
    if let Some(rule) = broken {
        let verdict = if found { "broken_as_expected" } else { "NOT_FOUND" };
        println!("rule={rule:?} result={verdict}");
    }
    found == broken.is_some()
}

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
