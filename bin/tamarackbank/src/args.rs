//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// tamarackbank serves language-model prompts whose documents are requested again after long gaps.
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

/// Run the process that the users' platform describes, in the platform's settings format.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "hosted")]
pub struct Hosted {
    /// settings file in tamarackbank's format; its values override those derived from the platform's
    #[argh(option)]
    pub over: Option<PathBuf>,
}

/// Check a settings file and print all errors in it.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// settings file
    #[argh(positional)]
    pub settings: PathBuf,
    /// the file is in the platform's format; print the settings derived from it
    #[argh(switch)]
    pub hosted: bool,
}

/// Restore a keeper's data from a copy of any keeper's data folder, under a new epoch.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "restore")]
pub struct Restore {
    /// settings file of the keeper; its data folder must not hold a keeper's files yet
    #[argh(positional)]
    pub settings: PathBuf,
    /// copy of a keeper's data folder, such as DATA/keeper
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

/// Run one stand-in server, for experiments and tests.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "fake")]
pub struct Fake {
    /// engine, plain or store
    #[argh(positional)]
    pub kind: String,
    /// address to listen on
    #[argh(option)]
    pub addr: SocketAddr,
    /// duration of one engine step or one plain call, microseconds
    #[argh(option, default = "6000")]
    pub step_us: u64,
    /// maximum number of runs in one engine batch
    #[argh(option, default = "16")]
    pub slots: usize,
    /// prompt tokens that an engine computes in one step
    #[argh(option, default = "256")]
    pub prefill: u64,
    /// capacity of an engine's cache, blocks
    #[argh(option, default = "512")]
    pub blocks: usize,
    /// an engine loses one cache event in this many; 0 for none
    #[argh(option, default = "0")]
    pub lose_every: u64,
    /// weight version of an engine at the start
    #[argh(option, default = "String::from(\"v1\")")]
    pub version: String,
    /// let an engine reject old fencing tokens
    #[argh(switch)]
    pub checks_tokens: bool,
}
