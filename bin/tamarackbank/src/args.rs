//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// tamarackbank serves language-model prompts that come back after long gaps.
#[derive(FromArgs, Debug)]
pub struct Args {
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    Run(Run),
    Hosted(Hosted),
    Check(Check),
    Restore(Restore),
    Dev(Dev),
    Fake(Fake),
}

/// Run the process that a settings file describes.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "run")]
pub struct Run {
    /// settings file
    #[argh(positional)]
    pub settings: PathBuf,
}

/// Run the process that the users' platform describes, in its words.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "hosted")]
pub struct Hosted {
    /// settings file of the product whose values go before those made of the platform's
    #[argh(option)]
    pub over: Option<PathBuf>,
}

/// Check a settings file and print every mistake in it.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// settings file
    #[argh(positional)]
    pub settings: PathBuf,
    /// the file is one that the platform leaves for a process; print what is made of it
    #[argh(switch)]
    pub hosted: bool,
}

/// Restore a keeper's data from a copy of any keeper's folder, under a new epoch.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "restore")]
pub struct Restore {
    /// settings file of the keeper; its data folder must not hold a keeper's files yet
    #[argh(positional)]
    pub settings: PathBuf,
    /// copy of a keeper's folder, such as DATA/keeper
    #[argh(option)]
    pub from: PathBuf,
}

/// Run entry, keeper, agents and stand-in servers in one process, without settings.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "dev")]
pub struct Dev {
    /// callers' address (default 127.0.0.1:7400)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 7400))")]
    pub callers: SocketAddr,
    /// operators' address (default 127.0.0.1:7401)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 7401))")]
    pub operators: SocketAddr,
    /// data folder (default data/dev)
    #[argh(option, default = "PathBuf::from(\"data/dev\")")]
    pub data: PathBuf,
}

/// Run one stand-in server, for trials and tests.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "fake")]
pub struct Fake {
    /// engine, plain or store
    #[argh(positional)]
    pub kind: String,
    /// address to listen on
    #[argh(option)]
    pub addr: SocketAddr,
    /// microseconds of one engine step or one plain call
    #[argh(option, default = "6000")]
    pub step_us: u64,
    /// runs in one engine batch
    #[argh(option, default = "16")]
    pub slots: usize,
    /// prompt tokens an engine computes in one step
    #[argh(option, default = "256")]
    pub prefill: u64,
    /// blocks that an engine's cache holds
    #[argh(option, default = "512")]
    pub blocks: usize,
    /// every how many cache events an engine loses one; 0 for none
    #[argh(option, default = "0")]
    pub lose_every: u64,
    /// weight version that an engine holds
    #[argh(option, default = "String::from(\"v1\")")]
    pub version: String,
    /// whether an engine refuses old fencing tokens
    #[argh(switch)]
    pub checks_tokens: bool,
}
