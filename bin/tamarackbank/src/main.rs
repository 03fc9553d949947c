//! The server binary: runs the process that a settings file describes, with the roles that it names.

mod args;
mod dev;
mod restore;

use std::fs;
use std::path::Path;
use std::process::ExitCode;

use args::{Args, Command};
use conf::{Settings, SettingsError};
use edge::{Exit, Running};
use eyre::{WrapErr, bail, eyre};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if matches!(args.command, Command::Hosted(_)) {
        edge::log_to_stdout();
    } else {
        edge::log_to_stderr();
    }
    let result = match args.command {
        Command::Hosted(hosted) => platform::run(hosted.over.as_deref()),
        Command::Run(run) => run_file(&run.settings),
        Command::Check(check) if check.hosted => check_hosted(&check.settings),
        Command::Check(check) => check_file(&check.settings),
        Command::Restore(args) => {
            read_settings(&args.settings).and_then(|settings| restore::run(&settings, &args.from))
        }
        Command::Dev(dev) => dev::run(&dev),
        Command::Fake(fake) => dev::fake(&fake),
    };
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tamarackbank: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn check_file(path: &Path) -> eyre::Result<()> {
    read_settings(path)?;
    println!("{}: no errors", path.display());
    Ok(())
}

/// Checks a settings file in the platform's format, and prints the settings derived from it.
fn check_hosted(path: &Path) -> eyre::Result<()> {
    match platform::check(&read_text(path)?) {
        Ok(settings) => {
            println!("{}: no errors; the derived settings:\n\n{settings}", path.display());
            Ok(())
        }
        Err(errors) => Err(report(path, &errors)),
    }
}

fn read_text(path: &Path) -> eyre::Result<String> {
    fs::read_to_string(path).wrap_err_with(|| path.display().to_string())
}

/// Prints each error and returns an error with their number.
fn report(path: &Path, errors: &[SettingsError]) -> eyre::Report {
    for error in errors {
        eprintln!("{}: {error}", path.display());
    }
    eyre!("{} errors in {}", errors.len(), path.display())
}

fn read_settings(path: &Path) -> eyre::Result<Settings> {
    Settings::parse(&read_text(path)?).map_err(|errors| report(path, &errors))
}

fn run_file(path: &Path) -> eyre::Result<()> {
    run(&read_settings(path)?)
}

/// Runs a process until it has stopped.
fn run(settings: &Settings) -> eyre::Result<()> {
    edge::limit_log(settings.log_lines);
    let mut running = edge::start(settings).wrap_err("cannot start")?;
    log::info!(
        name:% = settings.name, link:% = running.link, operators:% = running.operators,
        callers = running.callers.map_or_else(String::new, |addr| addr.to_string());
        "started"
    );
    finish(&mut running, || {})
}

/// Waits until the process has ended. SIGTERM and SIGINT stop it; `stopped` is called for each signal.
pub(crate) fn finish(
    running: &mut Running,
    stopped: impl Fn() + Send + 'static,
) -> eyre::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let stopper = running.stopper();
    std::thread::spawn(move || {
        for _ in signals.forever() {
            stopper.stop();
            stopped();
        }
    });
    match running.wait() {
        Exit::Done { in_flight: 0 } => log::info!("stopped"),
        Exit::Done { in_flight } => log::warn!(cut = in_flight; "stopped with requests in flight"),
        Exit::Failed { text } => {
            log::error!("fatal error: {text}");
            bail!("{text}");
        }
    }
    Ok(())
}
