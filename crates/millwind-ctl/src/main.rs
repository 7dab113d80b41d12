//! Command-line tool for operators of millwind. It talks to the administration interface of any
//! node.

mod apply;
mod client;
mod tables;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use millwind_node::admin::{
    DocumentRow, ExplainBody, InstanceRow, NodeRow, PoolRow, StatusReport, TenantRow,
};
use millwind_node::gateway::Explanation;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client::{Admin, ClientError};
use crate::tables::Table;

/// Exit code when a change is stored but not yet in force on all nodes.
const EXIT_STORED_ONLY: u8 = 3;
/// Exit code when the document was changed concurrently.
const EXIT_CONFLICT: u8 = 4;
/// Exit code when the outcome of a change is unknown. Retry with the same change id.
const EXIT_UNKNOWN: u8 = 5;

/// Operate millwind through any of its nodes.
#[derive(Debug, Parser)]
#[command(name = "millwindctl", version, about)]
struct Arguments {
    /// Administration address of a node.
    #[arg(long, env = "MILLWIND_ADMIN", default_value = "127.0.0.1:8432")]
    node: SocketAddr,
    /// Output format.
    #[arg(long, value_enum, default_value = "table")]
    output: Output,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Output {
    /// Human-readable tables.
    Table,
    /// JSON.
    Json,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Show a summary of the node.
    Status,
    /// List the cluster members known to the node.
    Nodes,
    /// List database instances with their owners and positions.
    Groups,
    /// List the node's connection pools.
    Pools,
    /// List the tenant settings in force.
    Tenants,
    /// Manage database groups.
    Group {
        #[command(subcommand)]
        action: DocumentAction,
    },
    /// Manage templates.
    Template {
        #[command(subcommand)]
        action: DocumentAction,
    },
    /// Manage tenants.
    Tenant {
        #[command(subcommand)]
        action: DocumentAction,
    },
    /// Show on how many nodes a revision is in force.
    Config {
        /// The revision; defaults to the node's current revision.
        #[arg(long)]
        revision: Option<u64>,
    },
    /// Explain how a statement would be routed now, without running it.
    Explain {
        /// Name of the tenant.
        tenant: String,
        /// Text of the statement.
        statement: String,
    },
    /// Stream routing decisions as they are made.
    Watch,
    /// Drain the node for a planned stop.
    Drain,
}

/// Actions on the documents of one kind.
#[derive(Debug, Clone, Subcommand)]
pub enum DocumentAction {
    /// List names and revisions.
    List,
    /// Print a document with its revision.
    Get {
        /// Name of the document.
        name: String,
    },
    /// Store a file as a document and wait until it is in force.
    Apply {
        /// TOML file. A first line `# revision = N` states the revision that the file is
        /// based on.
        file: PathBuf,
        /// Id of the change. Pass the same id to retry after an unknown outcome.
        #[arg(long)]
        change_id: Option<String>,
        /// Maximum time to wait for the change to be in force, in seconds.
        #[arg(long, default_value_t = 20)]
        wait: u64,
    },
    /// Show how a file differs from the document in force.
    Diff {
        /// TOML file.
        file: PathBuf,
    },
    /// Delete a document and wait until the deletion is in force.
    Delete {
        /// Name of the document.
        name: String,
        /// Maximum time to wait for the change to be in force, in seconds.
        #[arg(long, default_value_t = 20)]
        wait: u64,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let admin = Admin::new(arguments.node);
    match run(&admin, &arguments).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("millwindctl: {error}");
            match error {
                ClientError::Conflict(_) => ExitCode::from(EXIT_CONFLICT),
                ClientError::Unknown(_) => ExitCode::from(EXIT_UNKNOWN),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

async fn run(admin: &Admin, arguments: &Arguments) -> Result<ExitCode, ClientError> {
    let output = arguments.output;
    match &arguments.command {
        Command::Status => print(
            output,
            &admin.get::<StatusReport>("/status").await?,
            tables::status,
        ),
        Command::Nodes => print_list::<NodeRow>(admin, output, "/nodes", tables::nodes).await?,
        Command::Groups => print_list::<InstanceRow>(admin, output, "/groups", tables::groups).await?,
        Command::Pools => print_list::<PoolRow>(admin, output, "/pools", tables::pools).await?,
        Command::Tenants => print_list::<TenantRow>(admin, output, "/tenants", tables::tenants).await?,
        Command::Group { action } => return run_document_action(admin, output, "group", action).await,
        Command::Template { action } => return run_document_action(admin, output, "template", action).await,
        Command::Tenant { action } => return run_document_action(admin, output, "tenant", action).await,
        Command::Config { revision } => return apply::report(admin, *revision).await,
        Command::Explain { tenant, statement } => {
            let body = ExplainBody {
                tenant: tenant.clone(),
                statement: statement.clone(),
            };
            let explanation: Explanation = admin.post_json("/explain", &body).await?;
            print(output, &explanation, tables::explanation);
        }
        Command::Watch => admin.stream("/decisions").await?,
        Command::Drain => {
            admin.post("/drain").await?;
            println!("drain requested");
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn run_document_action(
    admin: &Admin,
    output: Output,
    kind: &'static str,
    action: &DocumentAction,
) -> Result<ExitCode, ClientError> {
    match action {
        DocumentAction::List => {
            print_list::<DocumentRow>(admin, output, &format!("/documents/{kind}"), tables::documents)
                .await?;
        }
        DocumentAction::Get { name } => {
            let document: DocumentRow = admin.get(&format!("/documents/{kind}/{name}")).await?;
            match output {
                Output::Json => print_json(&document),
                Output::Table => println!(
                    "{}{}\n{}",
                    apply::REVISION_LINE,
                    document.revision,
                    document.body.trim_end()
                ),
            }
        }
        DocumentAction::Apply {
            file,
            change_id,
            wait,
        } => {
            return apply::apply(admin, kind, file, change_id.clone(), *wait).await;
        }
        DocumentAction::Diff { file } => apply::diff(admin, kind, file).await?,
        DocumentAction::Delete { name, wait } => return apply::delete(admin, kind, name, *wait).await,
    }
    Ok(ExitCode::SUCCESS)
}

async fn print_list<T: Serialize + DeserializeOwned>(
    admin: &Admin,
    output: Output,
    path: &str,
    table: fn(&[T]) -> Table,
) -> Result<(), ClientError> {
    let rows: Vec<T> = admin.get(path).await?;
    print(output, rows.as_slice(), table);
    Ok(())
}

fn print<T: Serialize + ?Sized>(output: Output, value: &T, table: fn(&T) -> Table) {
    match output {
        Output::Json => print_json(value),
        Output::Table => print!("{}", table(value)),
    }
}

fn print_json<T: Serialize + ?Sized>(value: &T) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("millwindctl: {error}"),
    }
}
